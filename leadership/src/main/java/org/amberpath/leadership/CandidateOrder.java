package org.amberpath.leadership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The order in which gateways stand for election to a task: descending by the hash of task and
 * gateway name (rendezvous hashing), so that all gateways compute the same order and tasks are
 * spread over the gateways. The order determines who stands first, not who is elected.
 */
public final class CandidateOrder {
  private CandidateOrder() {}

  /** Returns how many of these gateways precede one of them in the order for a task. */
  public static int position(String task, String gateway, List<String> gateways) {
    long own = hash(task, gateway);
    return (int)
        gateways.stream()
            .filter(
                other ->
                    !other.equals(gateway)
                        && (hash(task, other) > own
                            || (hash(task, other) == own && other.compareTo(gateway) < 0)))
            .count();
  }

  /** Returns these gateways in the order for a task. */
  public static List<String> order(String task, List<String> gateways) {
    Map<String, Long> hashes = new HashMap<>();
    gateways.forEach(gateway -> hashes.put(gateway, hash(task, gateway)));
    return gateways.stream()
        .sorted(
            Comparator.<String>comparingLong(hashes::get)
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  private static long hash(String task, String name) {
    long value = 0x9e3779b97f4a7c15L;
    for (String text : List.of(task, "/", name)) {
      for (int index = 0; index < text.length(); index++) {
        value = (value ^ text.charAt(index)) * 0xbf58476d1ce4e5b9L;
        value ^= value >>> 29;
      }
    }
    return value;
  }
}
