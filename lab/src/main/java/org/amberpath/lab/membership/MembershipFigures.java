package org.amberpath.lab.membership;

import java.util.Map;

/** Counters of one run of the membership model. */
final class MembershipFigures {
  private long datagrams;
  private long maxDatagramsPerSecond;
  private long falseLosses;
  private long faults;
  private long rejectedDatagrams;
  private long falseUpdates;

  void datagramSent(long sentInSecond) {
    datagrams++;
    maxDatagramsPerSecond = Math.max(maxDatagramsPerSecond, sentInSecond);
  }

  void runningMemberLost() {
    falseLosses++;
  }

  void faultInjected() {
    faults++;
  }

  void datagramRejected() {
    rejectedDatagrams++;
  }

  void falseUpdateSent() {
    falseUpdates++;
  }

  /** Returns the counters under their names in reports. */
  Map<String, Long> report(long steps) {
    return Map.of(
        "steps", steps,
        "datagrams", datagrams,
        "most_in_a_second", maxDatagramsPerSecond,
        "losses_of_running", falseLosses,
        "faults", faults,
        "turned_away", rejectedDatagrams,
        "lies", falseUpdates);
  }
}
