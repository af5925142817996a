package org.amberpath.leadership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which gateway a task falls to first: by highest hash of both names, so that all agree and tasks
 * are spread.
 */
public final class CandidateOrder {
  private CandidateOrder() {}

  /** How many of these come before one, for a task. */
  public static int place(String task, String one, List<String> all) {
    long own = hash(task, one);
    return (int)
        all.stream()
            .filter(
                other ->
                    !other.equals(one)
                        && (hash(task, other) > own
                            || (hash(task, other) == own && other.compareTo(one) < 0)))
            .count();
  }

  /** All in the order of their places, for a task. */
  public static List<String> order(String task, List<String> all) {
    Map<String, Long> hashes = new HashMap<>();
    all.forEach(one -> hashes.put(one, hash(task, one)));
    return all.stream()
        .sorted(
            Comparator.<String>comparingLong(hashes::get)
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  private static long hash(String task, String name) {
    long value = 0x9e3779b97f4a7c15L;
    for (String text : List.of(task, "/", name)) {
      for (int at = 0; at < text.length(); at++) {
        value = (value ^ text.charAt(at)) * 0xbf58476d1ce4e5b9L;
        value ^= value >>> 29;
      }
    }
    return value;
  }
}
