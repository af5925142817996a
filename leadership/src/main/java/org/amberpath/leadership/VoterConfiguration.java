package org.amberpath.leadership;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The names of the voters, as operators configure them; they are never derived from the members
 * present. A change of the voters has three stages: the current list, both lists, and the next
 * list. While both are configured, a quorum is a majority of each list, so that a quorum of one
 * stage and a quorum of the following stage always have a voter in common.
 *
 * @param current the voters
 * @param next the voters that replace them; empty while no change is in progress
 */
public record VoterConfiguration(List<String> current, List<String> next) {
  private static final int MAX_VOTERS = 9;

  /**
   * Checks both lists.
   *
   * @throws InvalidLeadershipConfigException.Voters if a list has an even length, is too long or
   *     contains a duplicate, or if there are no current voters
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

  /** Creates a configuration of these voters, with no change in progress. */
  public static VoterConfiguration of(String... names) {
    return new VoterConfiguration(List.of(names), List.of());
  }

  /**
   * Returns whether this configuration and another are adjacent stages of a change: every quorum of
   * one has a voter in common with every quorum of the other.
   */
  public boolean isAdjacentTo(VoterConfiguration other) {
    return (current.equals(other.current) && (next.isEmpty() || other.next.isEmpty()))
        || (next.isEmpty() && current.equals(other.next))
        || (other.next.isEmpty() && next.equals(other.current));
  }

  /** Returns the voters of both lists, sorted by name. */
  public Set<String> allVoters() {
    Set<String> all = new TreeSet<>(current);
    all.addAll(next);
    return all;
  }

  /** Returns whether these voters are a quorum: a majority of each list. */
  public boolean isMajority(Collection<String> voters) {
    return isMajority(current, voters) && (next.isEmpty() || isMajority(next, voters));
  }

  private static boolean isMajority(List<String> list, Collection<String> voters) {
    return 2 * list.stream().filter(voters::contains).count() > list.size();
  }
}
