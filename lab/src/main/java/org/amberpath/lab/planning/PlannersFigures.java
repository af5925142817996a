package org.amberpath.lab.planning;

import java.util.Map;

/** Counters of one run of the planners' model. */
final class PlannersFigures {
  private long grants;
  private long grantsAboveEqualShare;
  private long terms;
  private long handovers;
  private long rejectedGrants;

  void granted() {
    grants++;
  }

  void grantedAboveEqualShare() {
    grantsAboveEqualShare++;
  }

  void termStarted() {
    terms++;
  }

  void handedOver() {
    handovers++;
  }

  void grantRejected() {
    rejectedGrants++;
  }

  /** Returns the counters under their names in reports. */
  Map<String, Long> report(long steps) {
    return Map.of(
        "steps", steps,
        "grants", grants,
        "terms", terms,
        "above_usual", grantsAboveEqualShare,
        "handed_over", handovers,
        "refused", rejectedGrants);
  }
}
