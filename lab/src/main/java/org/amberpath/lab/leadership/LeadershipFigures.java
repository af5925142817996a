package org.amberpath.lab.leadership;

import java.util.Map;

/** Counters of one run of the leadership model. */
final class LeadershipFigures {
  private long effectsSent;
  private long effectsRejected;
  private long effectsOverlapping;
  private long effectsAbandoned;
  private long handovers;
  private long termsWon;
  private long higherTermsSeen;

  void effectSent() {
    effectsSent++;
  }

  void effectRejected() {
    effectsRejected++;
  }

  void effectsOverlapped() {
    effectsOverlapping++;
  }

  void effectAbandoned() {
    effectsAbandoned++;
  }

  void handedOver() {
    handovers++;
  }

  void termWon() {
    termsWon++;
  }

  void higherTermSeen() {
    higherTermsSeen++;
  }

  /** Returns the counters under their names in reports. */
  Map<String, Long> report(long steps) {
    return Map.of(
        "steps", steps,
        "acts", effectsSent,
        "refused", effectsRejected,
        "acts_in_the_window", effectsOverlapping,
        "dropped", effectsAbandoned,
        "handed_over", handovers,
        "terms", termsWon,
        "outranked", higherTermsSeen);
  }
}
