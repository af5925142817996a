package org.amberpath.membership;

import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.security.DigestOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * A digest of all actions in the order that they were taken, and how often each came. Enum
 * constants go in by their ordinal, which is their form on the wire, so that a renamed constant
 * leaves the digest as it is. The words of the actions are a stored form: they are part of the
 * recorded digests.
 */
@SuppressWarnings("EnumOrdinal") // The ordinal is the form on the wire.
final class RecordedActions {
  private final Map<String, Integer> counts = new TreeMap<>();
  private final MessageDigest digest = sha256();
  private final DataOutputStream out =
      new DataOutputStream(new DigestOutputStream(OutputStream.nullOutputStream(), digest));

  /** How often each action and each thing worth counting came, by its word. */
  Map<String, Integer> counts() {
    return counts;
  }

  /** Counts something without adding it to the digest. */
  void count(String what) {
    counts.merge(what, 1, Integer::sum);
  }

  /** Adds one action with all its arguments: numbers, booleans, texts, enums or null. */
  void add(String action, Object... arguments) {
    count(action);
    try {
      out.writeUTF(action);
      for (Object argument : arguments) {
        write(argument);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void write(Object argument) throws IOException {
    if (argument == null) {
      out.writeByte(0);
    } else if (argument instanceof Enum<?> constant) {
      out.writeInt(constant.ordinal());
    } else if (argument instanceof Double number) {
      out.writeLong(Double.doubleToRawLongBits(number));
    } else if (argument instanceof Number number) {
      out.writeLong(number.longValue());
    } else if (argument instanceof Boolean truth) {
      out.writeBoolean(truth);
    } else {
      out.writeUTF((String) argument);
    }
  }

  /** The digest of all that was added, as hexadecimal digits; ends the recording. */
  String finish() {
    return HexFormat.of().formatHex(digest.digest());
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
