package org.amberpath.membership;

/**
 * Refutes updates about this process. An update that reports this process as suspected, lost or
 * left is refuted by a higher incarnation, and so is an update about an earlier process with the
 * same name that supersedes the local update. Once a name conflict was reported, refutations of
 * updates about other processes are limited to one per {@value #MIN_INTERVAL_PERIODS} probe
 * intervals, so that two running processes with the same name do not keep raising each other's
 * incarnation.
 */
final class Refutation {
  private static final int MIN_INTERVAL_PERIODS = 3;

  private final LocalMember local;
  private final LocalHealth localHealth;
  private final NameConflictDetector conflicts;
  private final GossipQueue gossip;
  private final long minIntervalNanos;
  private long lastRefutedAtNanos = Long.MIN_VALUE;

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

  /** Processes an update about this process's name, and refutes it if necessary. */
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
    conflicts.localUpdateSuperseded(update);
    boolean neverRefuted = lastRefutedAtNanos == Long.MIN_VALUE;
    if (neverRefuted
        || nowNanos - lastRefutedAtNanos > minIntervalNanos
        || !conflicts.anyReported()) {
      refute(update, nowNanos);
    }
  }

  private void refute(MemberUpdate update, long nowNanos) {
    lastRefutedAtNanos = nowNanos;
    local.raiseIncarnation(update.incarnation() + 1);
    gossip.enqueue(local.name());
  }
}
