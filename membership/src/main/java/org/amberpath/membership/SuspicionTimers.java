package org.amberpath.membership;

import java.util.List;

/**
 * How long a suspicion lasts before the suspected member is lost. As in Lifeguard, it begins long
 * and shortens with each further reporter; it grows with the logarithm of the fleet's size, so that
 * the suspected member has time to hear of it and refute it.
 *
 * <p>Bounds: {@value #MIN_PERIODS} to {@value #MAX_PERIODS} periods for ten members; reporters past
 * {@value #CONFIRMING_REPORTERS} change nothing.
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

  /** Begins the suspicion of a member that has just become suspected. */
  void start(MemberEntry entry, long nowNanos) {
    entry.reporters.add(entry.update.reporter());
    entry.suspicionDeadlineNanos = nowNanos + durationNanos(entry.reporters.size());
  }

  /**
   * Takes another report of a member that is suspected already; whether it shortened the suspicion.
   * Guards against late detection of a crash.
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

  /** Whether any member is suspected. */
  boolean anyRunning() {
    return table.all().stream().anyMatch(entry -> entry.status() == MemberStatus.SUSPECTED);
  }

  /** The members whose suspicion has ended without a refutation, ordered by name. */
  List<MemberEntry> expired(long nowNanos) {
    return table.all().stream()
        .filter(
            entry ->
                entry.status() == MemberStatus.SUSPECTED
                    && nowNanos >= entry.suspicionDeadlineNanos)
        .toList();
  }

  /** Puts off all suspicions by the time for which this process stood still. */
  void postpone(long nanos) {
    table.all().forEach(entry -> entry.suspicionDeadlineNanos += nanos);
  }

  private long durationNanos(int reporters) {
    double confirmed = Math.log(Math.max(1, reporters)) / Math.log(CONFIRMING_REPORTERS);
    return (long)
        ((MAX_PERIODS - (MAX_PERIODS - MIN_PERIODS) * Math.min(1, confirmed))
            * periodNanos
            * sizeFactor());
  }

  private double sizeFactor() {
    return Math.max(1, Math.log10(Math.max(1, table.countedNames())));
  }
}
