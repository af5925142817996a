package org.amberpath.routing;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records the router's actions: a digest over all of them, in order and with all arguments, and the
 * number of each. An action's name in the digest is a stored form; it stays when a method of {@link
 * RoutingActions} is renamed.
 */
final class RecordedActions {
  private static final int MAX_ARGUMENTS = 7;

  /**
   * Number of occurrences by name, of actions, outcomes, details and other events; shows what the
   * digest covers.
   */
  private final Map<String, Integer> counts = new TreeMap<>();

  private final MessageDigest digest = sha256();
  private final ByteBuffer buffer = ByteBuffer.allocate((1 + MAX_ARGUMENTS) * Long.BYTES);

  /** Adds an action to the digest and counts it. */
  void add(String action, long... arguments) {
    count("action " + action);
    buffer.clear();
    buffer.putLong(action.hashCode());
    for (long argument : arguments) {
      buffer.putLong(argument);
    }
    digest.update(buffer.flip());
  }

  /** Counts an occurrence that is not part of the digest. */
  void count(String name) {
    counts.merge(name, 1, Integer::sum);
  }

  /** Returns the number of occurrences by name; names of actions begin with "action ". */
  Map<String, Integer> counts() {
    return counts;
  }

  /** Returns the digest of all actions so far, in hexadecimal, and resets it; the counts stay. */
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
