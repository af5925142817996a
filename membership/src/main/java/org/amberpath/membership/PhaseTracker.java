package org.amberpath.membership;

import org.amberpath.membership.SwimProtocol.Phase;

/** The phase of this member's view of the fleet as a whole. */
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

  /** A status has changed, or may have while this process stood still. */
  void membershipChanged(long nowNanos) {
    changedAtNanos = nowNanos;
  }

  /** Enters the phase that fits what is known now. */
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

  /** This process leaves; no phase follows. */
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
