package org.amberpath.lab.planning;

import java.util.Map;

/** What is counted in one run of the planners' model. */
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

  /** The figures under the names that reports have for them. */
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
