package org.amberpath.membership;

/**
 * Answers updates about this process itself. A suspicion, a loss or a leave is refuted by a higher
 * incarnation. What is remembered of an older process under this name is outlived likewise; while
 * another process under this name runs, refutations are spaced out, so that the two don't drive up
 * one another's incarnation.
 */
final class Refutation {
  private static final int MIN_INTERVAL_PERIODS = 3;

  private final LocalMember local;
  private final LocalHealth localHealth;
  private final NameConflictDetector conflicts;
  private final GossipQueue gossip;
  private final long minIntervalNanos;
  private long refutedAtNanos = Long.MIN_VALUE;

  Refutation(
      LocalMember local,
      LocalHealth localHealth,
      NameConflictDetector conflicts,
      GossipQueue gossip,
      long periodNanos) {
    this.local = local;
    this.localHealth = localHealth;
    this.conflicts = conflicts;
    this.gossip = gossip;
    minIntervalNanos = MIN_INTERVAL_PERIODS * periodNanos;
  }

  /** Takes an update about this process's name. */
  void updateAboutSelf(MemberUpdate update, long nowNanos) {
    if (update.instanceId() != local.instanceId()) {
      updateAboutOtherProcess(update, nowNanos);
    } else if (update.status() != MemberStatus.ALIVE
        && update.incarnation() >= local.incarnation()) {
      localHealth.worsen();
      refute(update, nowNanos);
    }
  }

  private void updateAboutOtherProcess(MemberUpdate update, long nowNanos) {
    if (!update.supersedes(local.update())) {
      return;
    }
    conflicts.roseAbove(update);
    boolean never = refutedAtNanos == Long.MIN_VALUE;
    if (never || nowNanos - refutedAtNanos > minIntervalNanos || !conflicts.anyReported()) {
      refute(update, nowNanos);
    }
  }

  private void refute(MemberUpdate update, long nowNanos) {
    refutedAtNanos = nowNanos;
    local.raiseIncarnation(update.incarnation() + 1);
    gossip.enqueue(local.name());
  }
}
