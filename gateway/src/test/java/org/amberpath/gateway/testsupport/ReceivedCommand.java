package org.amberpath.gateway.testsupport;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A command that a {@link StubCache} received.
 *
 * @param socket the connection on which it was received, for the reply
 * @param elements the elements of the RESP array: command word, request id, fields
 */
public record ReceivedCommand(Socket socket, List<byte[]> elements) {
  /** Returns an element of the command as text. */
  public String element(int index) {
    return new String(elements.get(index), StandardCharsets.ISO_8859_1);
  }

  /** Returns the value of a field; null if the field is absent. */
  public String field(String name) {
    for (String field : element(2).split(",", -1)) {
      if (field.startsWith(name + "=")) {
        return field.substring(name.length() + 1);
      }
    }
    return null;
  }

  /** Replies with a status, comma-separated fields and a body. */
  public void reply(String status, String fields, byte[] body) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes("*4\r\n".getBytes(StandardCharsets.ISO_8859_1));
    for (byte[] element :
        List.of(
            elements.get(1),
            status.getBytes(StandardCharsets.ISO_8859_1),
            fields.getBytes(StandardCharsets.ISO_8859_1),
            body)) {
      out.writeBytes(("$" + element.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      out.writeBytes(element);
      out.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
    socket.getOutputStream().write(out.toByteArray());
  }

  /** Replies with status {@code ok} and a body. */
  public void replyOk(String text) throws IOException {
    reply(
        "ok",
        "res=h,entity=4be0c1927d55a6f3,issued=1764576000123",
        text.getBytes(StandardCharsets.UTF_8));
  }

  /** Resets the connection (TCP RST). */
  public void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }
}
