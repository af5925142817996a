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
 * Computes a digest of all actions in the order in which they occurred, and counts each action.
 * Enum constants enter the digest as ordinals, as on the wire, so that renaming a constant does not
 * change the digest. The action names enter the digests that are recorded in tests, so they must
 * not change.
 */
@SuppressWarnings("EnumOrdinal") // Ordinals are the wire format.
final class RecordedActions {
  private final Map<String, Integer> counts = new TreeMap<>();
  private final MessageDigest digest = sha256();
  private final DataOutputStream out =
      new DataOutputStream(new DigestOutputStream(OutputStream.nullOutputStream(), digest));

  /** Returns how often each action and each counted event occurred, by name. */
  Map<String, Integer> counts() {
    return counts;
  }

  /** Counts an event without adding it to the digest. */
  void count(String event) {
    counts.merge(event, 1, Integer::sum);
  }

  /** Adds one action with all its arguments: numbers, booleans, strings, enum constants or null. */
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

  /** Returns the digest of all added actions in hexadecimal, and ends the recording. */
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
