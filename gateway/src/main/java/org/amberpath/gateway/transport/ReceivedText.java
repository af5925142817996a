package org.amberpath.gateway.transport;

import java.nio.charset.StandardCharsets;

/**
 * Formats bytes received from a peer for the log: bounded in length, without control characters.
 */
public final class ReceivedText {
  private static final int MAX_CHARS = 24;

  private ReceivedText() {}

  /**
   * Returns the bytes in double quotes, with a question mark for each byte that is not a printable
   * ASCII character. Of more than 24 bytes, only the first 24 and the length are shown.
   */
  public static String quote(byte[] received) {
    int shown = Math.min(received.length, MAX_CHARS);
    StringBuilder text = new StringBuilder("\"");
    for (int index = 0; index < shown; index++) {
      boolean printable = received[index] >= ' ' && received[index] <= '~';
      text.append(printable ? (char) received[index] : '?');
    }
    text.append(received.length > shown ? "...\" (" + received.length + " bytes)" : "\"");
    return text.toString();
  }

  /** Quotes a text of ISO 8859-1 characters like the bytes that it stands for. */
  public static String quote(String received) {
    return quote(received.getBytes(StandardCharsets.ISO_8859_1));
  }
}
