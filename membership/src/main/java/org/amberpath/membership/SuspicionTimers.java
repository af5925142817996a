package org.amberpath.membership;

import java.util.List;

/**
 * The timers that determine how long a member is suspected before it is declared lost. As in
 * Lifeguard, a suspicion starts with the maximum duration and is shortened by each further
 * reporter. The duration grows with the logarithm of the fleet's size, so that the suspected member
 * has time to receive the suspicion and refute it.
 *
 * <p>Bounds: {@value #MIN_PERIODS} to {@value #MAX_PERIODS} probe intervals in fleets of up to ten
 * members. More than {@value #CONFIRMING_REPORTERS} reporters do not shorten the suspicion further.
 */
final class SuspicionTimers {
  private static final int MIN_PERIODS = 4;
  private static final int MAX_PERIODS = 12;
  private static final int CONFIRMING_REPORTERS = 3;

  private final MembershipTable table;
  private final long periodNanos;

  SuspicionTimers(MembershipTable table, long periodNanos) {
    this.table = table;
    this.periodNanos = periodNanos;
  }

  /** Starts the timer of a member that has just become suspected. */
  void start(MemberEntry entry, long nowNanos) {
    entry.reporters.add(entry.update.reporter());
    entry.suspicionDeadlineNanos = nowNanos + durationNanos(entry.reporters.size());
  }

  /**
   * Processes another report about a suspected member, and shortens the suspicion if a new reporter
   * confirms it. Guards against a crash that is detected only after the maximum duration although
   * several members have noticed it.
   *
   * @return whether the report was a new confirmation
   */
  boolean confirm(MemberEntry entry, MemberUpdate report) {
    boolean confirmed =
        report.status() == MemberStatus.SUSPECTED
            && entry.status() == MemberStatus.SUSPECTED
            && report.incarnation() == entry.update.incarnation()
            && entry.reporters.size() < CONFIRMING_REPORTERS
            && entry.reporters.add(report.reporter());
    if (confirmed) {
      int reporters = entry.reporters.size();
      long startedAtNanos = entry.suspicionDeadlineNanos - durationNanos(reporters - 1);
      entry.suspicionDeadlineNanos = startedAtNanos + durationNanos(reporters);
    }
    return confirmed;
  }

  /** Whether any member is currently suspected. */
  boolean anyRunning() {
    return table.all().stream().anyMatch(entry -> entry.status() == MemberStatus.SUSPECTED);
  }

  /** Returns the members whose suspicion has expired without a refutation, ordered by name. */
  List<MemberEntry> expired(long nowNanos) {
    return table.all().stream()
        .filter(
            entry ->
                entry.status() == MemberStatus.SUSPECTED
                    && nowNanos >= entry.suspicionDeadlineNanos)
        .toList();
  }

  /** Postpones the expiry of all suspicions by the time for which this process was paused. */
  void postpone(long nanos) {
    table.all().forEach(entry -> entry.suspicionDeadlineNanos += nanos);
  }

  private long durationNanos(int reporters) {
    double confirmation = Math.log(Math.max(1, reporters)) / Math.log(CONFIRMING_REPORTERS);
    return (long)
        ((MAX_PERIODS - (MAX_PERIODS - MIN_PERIODS) * Math.min(1, confirmation))
            * periodNanos
            * sizeFactor());
  }

  private double sizeFactor() {
    return Math.max(1, Math.log10(Math.max(1, table.countedMembers())));
  }
}
