package org.amberpath.gateway.testsupport;

import java.io.ByteArrayOutputStream;
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
  private final MessageUnpacker unpacker;

  /** Connects to a port on loopback. */
  public TestClient(int port) throws IOException {
    this(new Socket(GatewayTestbed.LOOPBACK, port));
  }

  /** Creates a client on a connected socket. */
  public TestClient(Socket connected) throws IOException {
    socket = connected;
    socket.setTcpNoDelay(true);
    socket.setSoTimeout((int) GatewayTestbed.TIMEOUT_SECONDS * 1000);
    unpacker = MessagePack.newDefaultUnpacker(socket.getInputStream());
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
      long messageId, String method, Map<String, String> fields, byte[] body) throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    packer
        .packArrayHeader(4)
        .packInt(0)
        .packLong(messageId)
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

  /**
   * Sends requests for two parts, numbered 1 and 2, in one write. The gateway receives them in one
   * read, so that both wait for the first connection of the pool and share it; a request that is
   * received later may be sent on the idle second connection that the pool opens.
   */
  public TestClient sendRequestsTogether(String method, long firstAllowMs, long secondAllowMs)
      throws IOException {
    ByteArrayOutputStream requests = new ByteArrayOutputStream();
    requests.writeBytes(encodeRequest(1, method, requestFields(1, firstAllowMs, 0), new byte[0]));
    requests.writeBytes(encodeRequest(2, method, requestFields(2, secondAllowMs, 1), new byte[0]));
    return send(requests.toByteArray());
  }

  /** Sends a request with an empty body. */
  public TestClient sendRequest(int messageId, String method, long allowMs, int part)
      throws IOException {
    return send(
        encodeRequest(messageId, method, requestFields(messageId, allowMs, part), new byte[0]));
  }

  /** Encodes the notification that cancels a request. */
  public static byte[] encodeCancel(int messageId) throws IOException {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    packer
        .packArrayHeader(3)
        .packInt(2)
        .packString("withdraw")
        .packArrayHeader(1)
        .packInt(messageId);
    return packer.toByteArray();
  }

  /** Sends the notification that cancels a request. */
  public TestClient sendCancel(int messageId) throws IOException {
    return send(encodeCancel(messageId));
  }

  /** Sends a status request with message id 9999 and receives the next response. */
  public ClientAnswer requestStatus() throws IOException {
    return send(encodeRequest(9999, "status", Map.of(), null)).receive();
  }

  /** Receives and decodes the next response. */
  public ClientAnswer receive() throws IOException {
    unpacker.unpackArrayHeader();
    unpacker.unpackInt();
    long messageId = unpacker.unpackLong();
    String error = null;
    byte[] body = null;
    boolean isReady = false;
    Map<String, String> fields = Map.of();
    if (unpacker.tryUnpackNil()) {
      unpacker.unpackArrayHeader();
      if (unpacker.getNextFormat().getValueType().isBooleanType()) {
        isReady = unpacker.unpackBoolean();
      } else {
        body = unpacker.readPayload(unpacker.unpackBinaryHeader());
      }
      fields = unpackFields();
    } else {
      unpacker.unpackArrayHeader();
      error = unpacker.unpackString();
      fields = unpackFields();
      unpacker.unpackNil();
    }
    return new ClientAnswer(messageId, error, body, isReady, fields);
  }

  private Map<String, String> unpackFields() throws IOException {
    Map<String, String> fields = new LinkedHashMap<>();
    for (int remaining = unpacker.unpackMapHeader(); remaining > 0; remaining--) {
      fields.put(unpacker.unpackString(), unpacker.unpackString());
    }
    return fields;
  }

  /** Returns whether the gateway has closed the connection without sending more data; blocks. */
  public boolean isClosed() throws IOException {
    try {
      return !unpacker.hasNext();
    } catch (java.net.SocketException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
