package org.amberpath.leadership;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The voters by name, as operators configure them: never derived from the members present. While
 * one list replaces another, a quorum is a majority of each, so that two quorums of adjacent stages
 * always have a voter in common.
 *
 * @param current the voters
 * @param next the voters that replace them; empty while nothing changes
 */
public record VoterConfiguration(List<String> current, List<String> next) {
  private static final int MAX_VOTERS = 9;

  /**
   * Checks both lists.
   *
   * @throws InvalidLeadershipConfigException.Voters if one is even, too long, or names one twice
   */
  public VoterConfiguration {
    current = List.copyOf(current);
    next = List.copyOf(next);
    for (List<String> voters : List.of(current, next)) {
      if (voters.size() > MAX_VOTERS
          || (!voters.isEmpty() && voters.size() % 2 == 0)
          || Set.copyOf(voters).size() != voters.size()) {
        throw new InvalidLeadershipConfigException.Voters(
            "an odd number of voters, " + MAX_VOTERS + " at most, each once: " + voters);
      }
    }
    if (current.isEmpty()) {
      throw new InvalidLeadershipConfigException.Voters("no voters");
    }
  }

  /** Voters of these names, with no change under way. */
  public static VoterConfiguration of(String... names) {
    return new VoterConfiguration(List.of(names), List.of());
  }

  /**
   * Whether this is an adjacent stage of another: every quorum of one has a voter in common with
   * every quorum of the other.
   */
  public boolean follows(VoterConfiguration other) {
    return (current.equals(other.current) && (next.isEmpty() || other.next.isEmpty()))
        || (next.isEmpty() && current.equals(other.next))
        || (other.next.isEmpty() && next.equals(other.current));
  }

  /** The voters of both lists, sorted by name. */
  public Set<String> allVoters() {
    Set<String> all = new TreeSet<>(current);
    all.addAll(next);
    return all;
  }

  /** Whether these voters are a quorum: a majority of each list. */
  public boolean isMajority(Collection<String> voters) {
    return isMajority(current, voters) && (next.isEmpty() || isMajority(next, voters));
  }

  private static boolean isMajority(List<String> list, Collection<String> voters) {
    return 2 * list.stream().filter(voters::contains).count() > list.size();
  }
}
