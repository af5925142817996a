package org.amberpath.gateway.client;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Bytes as they were received. Immutable as long as nobody changes the array that it was made of,
 * which is shared and not copied: bodies are as long as {@link ClientConnection#MAX_BODY_BYTES}.
 */
public final class ByteString {
  /** No bytes. */
  public static final ByteString EMPTY = new ByteString(new byte[0]);

  private final byte[] bytes;

  private ByteString(byte[] bytes) {
    this.bytes = bytes;
  }

  /** The bytes of an array, which must not be changed from now on. */
  public static ByteString of(byte[] bytes) {
    return new ByteString(bytes);
  }

  /** The bytes of a text in US-ASCII. */
  public static ByteString ofAscii(String text) {
    return new ByteString(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** The array that it was made of; it must not be changed. */
  public byte[] array() {
    return bytes;
  }

  /** How many bytes there are. */
  public int length() {
    return bytes.length;
  }

  /** Whether there are none. */
  public boolean isEmpty() {
    return bytes.length == 0;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ByteString that && Arrays.equals(bytes, that.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  /** The bytes as text, one character a byte. */
  @Override
  public String toString() {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }
}
