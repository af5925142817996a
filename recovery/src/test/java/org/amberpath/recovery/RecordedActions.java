package org.amberpath.recovery;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * Computes one SHA-256 digest of the actions of a class under test, in order. An action is a line
 * of text: a word that the recorder chooses, and the arguments. The words are part of the stored
 * digests: they stay the same when methods and constants of the class under test are renamed.
 */
final class RecordedActions {
  /**
   * How often each action and state was recorded, which shows what the events of a test exercise.
   */
  private final Map<String, Integer> counts = new TreeMap<>();

  private final MessageDigest digest = sha256();

  /** Records one action with its arguments, and counts it by its word. */
  void record(String word, Object... arguments) {
    count(word);
    StringBuilder line = new StringBuilder(word);
    for (Object argument : arguments) {
      line.append(' ');
      if (argument instanceof Double number) {
        line.append(Long.toHexString(Double.doubleToRawLongBits(number)));
      } else {
        line.append(argument);
      }
    }
    digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Counts an event without adding it to the digest. */
  void count(String what) {
    counts.merge(what, 1, Integer::sum);
  }

  Map<String, Integer> counts() {
    return counts;
  }

  /** Returns the digest of all recorded actions as hexadecimal digits. May be called once only. */
  String digest() {
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
