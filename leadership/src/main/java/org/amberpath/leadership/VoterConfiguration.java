package org.amberpath.leadership;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Who votes, by name, as the operators told: never taken from who is there at the moment. While one
 * list follows another, a majority of each is needed, so that no two majorities of adjacent stages
 * are without a voter in common.
 *
 * @param current the voters
 * @param next those that follow; empty while nothing changes
 */
public record VoterConfiguration(List<String> current, List<String> next) {
  private static final int MOST = 9;

  /** Checks that each list is odd, and bounded. */
  public VoterConfiguration {
    current = List.copyOf(current);
    next = List.copyOf(next);
    for (List<String> one : List.of(current, next)) {
      if (one.size() > MOST
          || (!one.isEmpty() && one.size() % 2 == 0)
          || Set.copyOf(one).size() != one.size()) {
        throw new IllegalArgumentException(
            "an odd number of voters, " + MOST + " at most, each once: " + one);
      }
    }
    if (current.isEmpty()) {
      throw new IllegalArgumentException("no voters");
    }
  }

  public static VoterConfiguration of(String... names) {
    return new VoterConfiguration(List.of(names), List.of());
  }

  /**
   * Whether this is the next stage of another, or the one before it: their majorities have a voter
   * in common.
   */
  public boolean follows(VoterConfiguration other) {
    return (current.equals(other.current) && (next.isEmpty() || other.next.isEmpty()))
        || (next.isEmpty() && current.equals(other.next))
        || (other.next.isEmpty() && next.equals(other.current));
  }

  /** All that are asked. */
  public Set<String> allVoters() {
    Set<String> all = new TreeSet<>(current);
    all.addAll(next);
    return all;
  }

  /** Whether these are a majority of each list. */
  public boolean isMajority(Collection<String> voters) {
    return isMajority(current, voters) && (next.isEmpty() || isMajority(next, voters));
  }

  private static boolean isMajority(List<String> of, Collection<String> voters) {
    return 2 * of.stream().filter(voters::contains).count() > of.size();
  }
}
