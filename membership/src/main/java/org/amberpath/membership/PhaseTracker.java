package org.amberpath.membership;

import org.amberpath.membership.SwimProtocol.Phase;

/** Tracks the phase of this member's view of the fleet, and reports each phase change. */
final class PhaseTracker {
  private static final int SETTLED_AFTER_PERIODS = 4;

  private final MembershipTable table;
  private final LocalMember local;
  private final SwimProtocol.Output output;
  private final long settledAfterNanos;
  private Phase phase = Phase.JOINING;
  private long membershipChangedAtNanos;

  PhaseTracker(
      MembershipTable table,
      LocalMember local,
      SwimProtocol.Output output,
      long periodNanos,
      long nowNanos) {
    this.table = table;
    this.local = local;
    this.output = output;
    settledAfterNanos = SETTLED_AFTER_PERIODS * periodNanos;
    membershipChangedAtNanos = nowNanos;
  }

  Phase current() {
    return phase;
  }

  /** Records that a status has changed, or may have changed while this process was paused. */
  void membershipChanged(long nowNanos) {
    membershipChangedAtNanos = nowNanos;
  }

  /** Enters the phase that follows from the current table and suspicions. */
  void update(SuspicionTimers suspicions, long nowNanos) {
    int present = table.presentMembers();
    int counted = table.countedMembers();
    if (counted == 1 && present == 1) {
      boolean alone = phase == Phase.ALONE || local.joinTimeoutPassed(nowNanos);
      transitionTo(alone ? Phase.ALONE : Phase.JOINING);
    } else if (2 * present <= counted) {
      transitionTo(Phase.CUT_OFF);
    } else {
      boolean settled =
          local.isFullySynced()
              && !suspicions.anyRunning()
              && nowNanos - membershipChangedAtNanos > settledAfterNanos;
      transitionTo(settled ? Phase.SETTLED : Phase.SETTLING);
    }
  }

  /** Enters {@link Phase#LEAVING}, the final phase; {@link #update} must not be called again. */
  void leave() {
    transitionTo(Phase.LEAVING);
  }

  private void transitionTo(Phase next) {
    if (next != phase) {
      Phase previous = phase;
      phase = next;
      output.phaseChanged(previous, next);
    }
  }
}
