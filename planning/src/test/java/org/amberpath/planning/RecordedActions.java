package org.amberpath.planning;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * The actions of a class under test, in order, as one SHA-256 digest. An action is a line of text:
 * a word of the recorder and the arguments. The words are a stored form: they stay when methods and
 * constants of the class under test are renamed, so that a digest stays equal.
 */
final class RecordedActions {
  /** How often each action and state was recorded; a reader sees by it what the events reach. */
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

  /** Counts what was reached without recording it. */
  void count(String what) {
    counts.merge(what, 1, Integer::sum);
  }

  Map<String, Integer> counts() {
    return counts;
  }

  /** The digest of all that was recorded, as hexadecimal digits; to be asked for once. */
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
