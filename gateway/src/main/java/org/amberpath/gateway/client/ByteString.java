package org.amberpath.gateway.client;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * An immutable byte sequence that wraps an array without copying it, since bodies can be as long as
 * {@link ClientConnection#MAX_BODY_BYTES}. Callers must not modify the wrapped array.
 */
public final class ByteString {
  /** The empty byte string. */
  public static final ByteString EMPTY = new ByteString(new byte[0]);

  private final byte[] bytes;

  private ByteString(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Wraps an array without copying it; the caller must not modify the array afterwards. */
  public static ByteString of(byte[] bytes) {
    return new ByteString(bytes);
  }

  /** Encodes a text in US-ASCII. */
  public static ByteString ofAscii(String text) {
    return new ByteString(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Returns the wrapped array itself, not a copy; the caller must not modify it. */
  public byte[] array() {
    return bytes;
  }

  /** Returns the number of bytes. */
  public int length() {
    return bytes.length;
  }

  /** Returns whether the length is 0. */
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

  /** Decodes the bytes as ISO 8859-1, one character per byte. */
  @Override
  public String toString() {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }
}
