package org.amberpath.membership;

import org.amberpath.membership.SwimProtocol.Phase;

/** Tracks the phase of this member's view of the fleet, and reports each phase change. */
final class PhaseTracker {
  private static final int SETTLED_AFTER_PERIODS = 4;

  private final MembershipTable table;
  private final LocalMember local;
  private final SwimProtocol.Output out;
  private final long settledAfterNanos;
  private Phase phase = Phase.JOINING;
  private long changedAtNanos;

  PhaseTracker(
      MembershipTable table,
      LocalMember local,
      SwimProtocol.Output out,
      long periodNanos,
      long nowNanos) {
    this.table = table;
    this.local = local;
    this.out = out;
    settledAfterNanos = SETTLED_AFTER_PERIODS * periodNanos;
    changedAtNanos = nowNanos;
  }

  Phase current() {
    return phase;
  }

  /** Records that a status has changed, or may have changed while this process was paused. */
  void membershipChanged(long nowNanos) {
    changedAtNanos = nowNanos;
  }

  /** Enters the phase that follows from the current table and suspicions. */
  void update(SuspicionTimers suspicions, long nowNanos) {
    int present = table.presentMembers();
    int counted = table.countedNames();
    if (counted == 1 && present == 1) {
      boolean alone = phase == Phase.ALONE || local.joinTimeoutPassed(nowNanos);
      enter(alone ? Phase.ALONE : Phase.JOINING);
    } else if (2 * present <= counted) {
      enter(Phase.CUT_OFF);
    } else {
      boolean settled =
          local.isFullySynced()
              && !suspicions.anyRunning()
              && nowNanos - changedAtNanos > settledAfterNanos;
      enter(settled ? Phase.SETTLED : Phase.SETTLING);
    }
  }

  /** Enters {@link Phase#LEAVING}, the final phase; {@link #update} must not be called again. */
  void leave() {
    enter(Phase.LEAVING);
  }

  private void enter(Phase next) {
    if (next != phase) {
      Phase before = phase;
      phase = next;
      out.phaseChanged(before, next);
    }
  }
}
