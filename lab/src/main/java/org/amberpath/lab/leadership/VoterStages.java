package org.amberpath.lab.leadership;

import java.util.List;
import java.util.SplittableRandom;
import org.amberpath.leadership.VoterConfiguration;

/** The sequence of voter configurations that operators set in a run, and the current one. */
final class VoterStages {
  private static final int MIN_GATEWAYS_TO_CHANGE = 5;
  private static final int VOTER_COUNT = 3;
  private static final int LARGE_VOTER_COUNT = 5;

  private final List<VoterConfiguration> stages;
  private int current;

  private VoterStages(List<VoterConfiguration> stages) {
    this.stages = stages;
  }

  /**
   * Draws three or five voters, and whether they change; if so, the stages are the first voters,
   * the joint configuration, and the next voters.
   */
  static VoterStages draw(List<String> names, SplittableRandom random) {
    boolean enoughGateways = names.size() >= MIN_GATEWAYS_TO_CHANGE;
    List<String> first =
        names.subList(0, enoughGateways && random.nextBoolean() ? LARGE_VOTER_COUNT : VOTER_COUNT);
    VoterConfiguration firstStage = new VoterConfiguration(first, List.of());
    if (!enoughGateways || !random.nextBoolean()) {
      return new VoterStages(List.of(firstStage));
    }
    List<String> next = names.subList(names.size() - VOTER_COUNT, names.size());
    return new VoterStages(
        List.of(
            firstStage,
            new VoterConfiguration(first, next),
            new VoterConfiguration(next, List.of())));
  }

  VoterConfiguration at(int stage) {
    return stages.get(stage);
  }

  int current() {
    return current;
  }

  boolean hasChange() {
    return stages.size() > 1;
  }

  boolean isLast() {
    return current + 1 == stages.size();
  }

  void advance() {
    current++;
  }

  void skipToLast() {
    current = stages.size() - 1;
  }

  /**
   * Returns whether the names form a majority of the current configuration or of the previous one.
   */
  boolean isMajority(List<String> names) {
    return stages.get(current).isMajority(names)
        || (current > 0 && stages.get(current - 1).isMajority(names));
  }
}
