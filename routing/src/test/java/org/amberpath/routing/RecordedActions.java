package org.amberpath.routing;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * A digest of all actions in order, with all their arguments, and how often each came. The digests
 * hold an action's recorded text, whatever its method is called now.
 */
final class RecordedActions {
  private static final int MAX_ARGUMENTS = 7;

  /** How often each action, outcome and detail came: shows what the events reach. */
  private final Map<String, Integer> counts = new TreeMap<>();

  private final MessageDigest digest = sha256();
  private final ByteBuffer buffer = ByteBuffer.allocate((1 + MAX_ARGUMENTS) * Long.BYTES);

  /** Adds an action to the digest, and counts it. */
  void add(String action, long... arguments) {
    count("action " + action);
    buffer.clear();
    buffer.putLong(action.hashCode());
    for (long argument : arguments) {
      buffer.putLong(argument);
    }
    digest.update(buffer.flip());
  }

  /** Counts what is not part of the digest. */
  void count(String what) {
    counts.merge(what, 1, Integer::sum);
  }

  /** How often each came. */
  Map<String, Integer> counts() {
    return counts;
  }

  /** The digest of all actions so far, as hexadecimal digits; afterwards it begins anew. */
  String finishDigest() {
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
