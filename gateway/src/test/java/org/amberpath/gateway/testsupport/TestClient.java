package org.amberpath.gateway.testsupport;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** A client of the gateway; its methods block the calling thread, for at most 10 s a read. */
public final class TestClient implements Closeable {
  public final Socket socket;
  private final MessageUnpacker in;

  /** Connects to a port on loopback. */
  public TestClient(int port) throws IOException {
    this(new Socket(GatewayTestbed.LOOPBACK, port));
  }

  /** Creates a client on a connected socket. */
  public TestClient(Socket connected) throws IOException {
    socket = connected;
    socket.setTcpNoDelay(true);
    socket.setSoTimeout((int) GatewayTestbed.TIMEOUT_SECONDS * 1000);
    in = MessagePack.newDefaultUnpacker(socket.getInputStream());
  }

  /** Returns the fields of a request for a part of {@link GatewayTestbed#OBJECT_ID}. */
  public static Map<String, String> requestFields(int ref, long allowMs, int part) {
    Map<String, String> fields =
        new LinkedHashMap<>(
            Map.of(
                "ref",
                String.format("%016x", ref),
                "lookup",
                GatewayTestbed.OBJECT_ID,
                "allow",
                Long.toString(allowMs),
                "chunk",
                Integer.toString(part),
                "tag",
                "17",
                "room",
                "412.5"));
    return fields;
  }

  /** Encodes a MessagePack-RPC request; a null body is left out. */
  public static byte[] encodeRequest(
      long number, String method, Map<String, String> fields, byte[] body) throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    packer
        .packArrayHeader(4)
        .packInt(0)
        .packLong(number)
        .packString(method)
        .packArrayHeader(body == null ? 1 : 2)
        .packMapHeader(fields.size());
    for (Map.Entry<String, String> field : fields.entrySet()) {
      packer.packString(field.getKey()).packString(field.getValue());
    }
    if (body != null) {
      packer.packBinaryHeader(body.length).writePayload(body);
    }
    return packer.toByteArray();
  }

  /** Sends raw bytes. */
  public TestClient send(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
    return this;
  }

  /** Sends a request with an empty body. */
  public TestClient sendRequest(int number, String method, long allowMs, int part)
      throws IOException {
    return send(encodeRequest(number, method, requestFields(number, allowMs, part), new byte[0]));
  }

  /** Encodes the notification that cancels a request. */
  public static byte[] encodeCancel(int number) throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    packer.packArrayHeader(3).packInt(2).packString("withdraw").packArrayHeader(1).packInt(number);
    return packer.toByteArray();
  }

  /** Cancels a request. */
  public TestClient sendCancel(int number) throws IOException {
    return send(encodeCancel(number));
  }

  /** Sends a status request with message id 9999 and receives the next response. */
  public ClientAnswer requestStatus() throws IOException {
    return send(encodeRequest(9999, "status", Map.of(), null)).receive();
  }

  /** Receives the next response. */
  public ClientAnswer receive() throws IOException {
    in.unpackArrayHeader();
    in.unpackInt();
    long number = in.unpackLong();
    String error = null;
    byte[] body = null;
    boolean status = false;
    Map<String, String> fields = Map.of();
    if (in.tryUnpackNil()) {
      in.unpackArrayHeader();
      if (in.getNextFormat().getValueType().isBooleanType()) {
        status = in.unpackBoolean();
      } else {
        body = in.readPayload(in.unpackBinaryHeader());
      }
      fields = map();
    } else {
      in.unpackArrayHeader();
      error = in.unpackString();
      fields = map();
      in.unpackNil();
    }
    return new ClientAnswer(number, error, body, status, fields);
  }

  private Map<String, String> map() throws IOException {
    Map<String, String> fields = new LinkedHashMap<>();
    for (int left = in.unpackMapHeader(); left > 0; left--) {
      fields.put(in.unpackString(), in.unpackString());
    }
    return fields;
  }

  /** Returns whether the gateway has closed the connection without sending more data; blocks. */
  public boolean isClosed() throws IOException {
    try {
      return !in.hasNext();
    } catch (java.net.SocketException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
