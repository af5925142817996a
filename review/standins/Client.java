import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** One connection of a client that follows PROTOCOL.md, "Clients to gateways". */
final class Client implements AutoCloseable {
  /** A request and what became of it. */
  static final class Request {
    final String ref;
    final String trafficClass;
    final String object;
    final int part;
    final int allowMillis;
    volatile long sentNanos;
    volatile long answeredNanos;

    /** served, current, refused or failed; null while there is no answer. */
    volatile String answer;

    volatile byte[] body;
    volatile int answers;
    volatile boolean connectionEnded;

    /** Whether a part of its answer came before the connection ended. */
    volatile boolean isCutOff;

    Request(String ref, String trafficClass, String object, int part, int allowMillis) {
      this.ref = ref;
      this.trafficClass = trafficClass;
      this.object = object;
      this.part = part;
      this.allowMillis = allowMillis;
    }

    /** Whether its time and half a second more are over without an answer, or it came later. */
    boolean isLost(long nowNanos) {
      long limitNanos = (allowMillis + 500L) * Rig.MS;
      return answer == null
          ? !isCutOff && (connectionEnded || nowNanos - sentNanos > limitNanos)
          : answeredNanos - sentNanos > limitNanos;
    }
  }

  final Socket socket;
  private final OutputStream out;
  private final Map<Long, Request> open = new HashMap<>();
  private final Map<Long, Request> all = new HashMap<>();
  private Request started;
  private long lastId;
  private volatile boolean ended;

  /** How long the reader waits after each read, and how much it reads at most; 0 for no limit. */
  private volatile int bytesPerSecond;

  Client(int port) throws IOException {
    this(port, 0, 0);
  }

  /**
   * Connects.
   *
   * @param receiveBuffer size of the socket's receive buffer; 0 for the system's
   * @param bytesPerSecond the pace at which answers are read; 0 for as fast as they come
   */
  Client(int port, int receiveBuffer, int bytesPerSecond) throws IOException {
    this.bytesPerSecond = bytesPerSecond;
    socket = new Socket();
    if (receiveBuffer > 0) {
      socket.setReceiveBufferSize(receiveBuffer);
    }
    socket.setTcpNoDelay(true);
    socket.connect(new java.net.InetSocketAddress("127.0.0.1", port), 2000);
    out = socket.getOutputStream();
    Thread reader = new Thread(this::readAll, "client");
    reader.setDaemon(true);
    reader.start();
  }

  static String newRef() {
    return String.format("%016x", ThreadLocalRandom.current().nextLong());
  }

  synchronized int openCount() {
    return open.size();
  }

  boolean hasEnded() {
    return ended;
  }

  /** Sends a request. */
  Request send(
      String trafficClass,
      String object,
      int part,
      int group,
      double sizeKb,
      int allowMillis,
      byte[] body)
      throws IOException {
    Request request = new Request(newRef(), trafficClass, object, part, allowMillis);
    long id;
    synchronized (this) {
      id = ++lastId;
      open.put(id, request);
      all.put(id, request);
    }
    byte[] message = encode(id, request, group, sizeKb, body);
    synchronized (out) {
      request.sentNanos = System.nanoTime();
      try {
        out.write(message);
        out.flush();
      } catch (IOException e) {
        request.connectionEnded = true;
        throw e;
      }
    }
    request.sentNanos = System.nanoTime();
    return request;
  }

  static byte[] encode(long id, Request request, int group, double sizeKb, byte[] body)
      throws IOException {
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    message.write(0x94);
    message.write(0);
    writeInt(message, id);
    writeString(message, request.trafficClass);
    message.write(0x92);
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("ref", request.ref);
    fields.put("allow", Integer.toString(request.allowMillis));
    fields.put("lookup", request.object);
    fields.put("chunk", Integer.toString(request.part));
    fields.put("tag", Integer.toString(group));
    fields.put("room", Double.toString(sizeKb));
    message.write(0x80 | fields.size());
    for (Map.Entry<String, String> field : fields.entrySet()) {
      writeString(message, field.getKey());
      writeString(message, field.getValue());
    }
    message.write(0xc6);
    message.write(ByteBuffer.allocate(4).putInt(body.length).array());
    message.write(body);
    return message.toByteArray();
  }

  private static void writeInt(ByteArrayOutputStream out, long value) throws IOException {
    out.write(0xce);
    out.write(ByteBuffer.allocate(4).putInt((int) value).array());
  }

  private static void writeString(ByteArrayOutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.write(0xd9);
    out.write(bytes.length);
    out.write(bytes);
  }

  private void readAll() {
    try {
      DataInputStream in =
          new DataInputStream(
              bytesPerSecond > 0
                  ? new PacedStream(socket.getInputStream(), bytesPerSecond)
                  : new java.io.BufferedInputStream(socket.getInputStream(), 65536));
      while (true) {
        if (in.readUnsignedByte() != 0x94) {
          throw new IOException("no answer");
        }
        Object kind = readValue(in);
        Object id = readValue(in);
        synchronized (this) {
          started = open.get(((Number) id).longValue());
        }
        Object error = readValue(in);
        Object result = readValue(in);
        started = null;
        handle(java.util.Arrays.asList(kind, id, error, result));
      }
    } catch (IOException | RuntimeException e) {
      ended = true;
      synchronized (this) {
        if (started != null) {
          started.isCutOff = true;
        }
        open.values().forEach(request -> request.connectionEnded = true);
        open.clear();
      }
    }
  }

  @SuppressWarnings("unchecked")
  private void handle(Object value) {
    List<Object> message = (List<Object>) value;
    long id = ((Number) message.get(1)).longValue();
    Object error = message.get(2);
    Request request;
    synchronized (this) {
      open.remove(id);
      request = all.get(id);
    }
    if (request == null) {
      return;
    }
    request.answers++;
    if (request.answer != null) {
      return;
    }
    request.answeredNanos = System.nanoTime();
    if (error == null) {
      List<Object> result = (List<Object>) message.get(3);
      request.body = (byte[]) result.get(0);
      request.answer = request.body.length == 0 ? "current" : "served";
    } else {
      request.answer =
          error instanceof List<?> list && "Overloaded".equals(list.get(0)) ? "refused" : "failed";
    }
  }

  /** Whether the gateway at the port answers status with true. */
  static boolean isReady(int port) {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(1000);
      socket.getOutputStream().write(new byte[] {(byte) 0x94, 0, 1, (byte) 0xa6, 's', 't', 'a', 't', 'u', 's', (byte) 0x91, (byte) 0x80});
      Object value = readValue(new DataInputStream(socket.getInputStream()));
      return value instanceof List<?> message
          && message.get(2) == null
          && message.get(3) instanceof List<?> result
          && Boolean.TRUE.equals(result.get(0));
    } catch (IOException | RuntimeException e) {
      return false;
    }
  }

  static Object readValue(DataInputStream in) throws IOException {
    int type = in.readUnsignedByte();
    if (type < 0x80) {
      return (long) type;
    } else if (type < 0x90) {
      return readMap(in, type & 0xf);
    } else if (type < 0xa0) {
      return readArray(in, type & 0xf);
    } else if (type < 0xc0) {
      return new String(readBytes(in, type & 0x1f), StandardCharsets.UTF_8);
    }
    switch (type) {
      case 0xc0:
        return null;
      case 0xc2:
        return false;
      case 0xc3:
        return true;
      case 0xc4:
        return readBytes(in, in.readUnsignedByte());
      case 0xc5:
        return readBytes(in, in.readUnsignedShort());
      case 0xc6:
        return readBytes(in, in.readInt());
      case 0xcc:
        return (long) in.readUnsignedByte();
      case 0xcd:
        return (long) in.readUnsignedShort();
      case 0xce:
        return in.readInt() & 0xffff_ffffL;
      case 0xcf:
        return in.readLong();
      case 0xd9:
        return new String(readBytes(in, in.readUnsignedByte()), StandardCharsets.UTF_8);
      case 0xda:
        return new String(readBytes(in, in.readUnsignedShort()), StandardCharsets.UTF_8);
      case 0xdc:
        return readArray(in, in.readUnsignedShort());
      case 0xde:
        return readMap(in, in.readUnsignedShort());
      default:
        throw new IOException("MessagePack type " + type);
    }
  }

  private static byte[] readBytes(DataInputStream in, int length) throws IOException {
    byte[] bytes = new byte[length];
    in.readFully(bytes);
    return bytes;
  }

  private static List<Object> readArray(DataInputStream in, int count) throws IOException {
    List<Object> values = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      values.add(readValue(in));
    }
    return values;
  }

  private static Map<Object, Object> readMap(DataInputStream in, int count) throws IOException {
    Map<Object, Object> values = new HashMap<>();
    for (int index = 0; index < count; index++) {
      values.put(readValue(in), readValue(in));
    }
    return values;
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to close.
    }
  }

  /** Reads at a steady pace, as a client behind a link does. */
  private static final class PacedStream extends InputStream {
    private final InputStream in;
    private final int bytesPerSecond;
    private long nextNanos = System.nanoTime();

    PacedStream(InputStream in, int bytesPerSecond) {
      this.in = in;
      this.bytesPerSecond = bytesPerSecond;
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      long nowNanos = System.nanoTime();
      if (nextNanos - nowNanos > Rig.MS) {
        try {
          Thread.sleep((nextNanos - nowNanos) / Rig.MS);
        } catch (InterruptedException e) {
          throw new IOException(e);
        }
      }
      int count = in.read(bytes, offset, Math.min(length, 16_384));
      nextNanos =
          Math.max(nextNanos, System.nanoTime() - 5 * Rig.MS)
              + Math.max(0, count) * 1_000_000_000L / bytesPerSecond;
      return count;
    }
  }
}
