package org.amberpath.membership;

import java.util.Optional;

/**
 * Merges updates into the {@link MembershipTable}. An update that takes precedence replaces the one
 * in the table, is queued for gossip, and starts or ends a suspicion. Updates about this process
 * are passed to {@link Refutation}.
 */
final class UpdateMerger {
  /** Receives the changes that merges cause. */
  interface Listener {
    /** Reports a new member; called before {@link #statusChanged} for its first status. */
    void memberAdded(MemberEntry entry);

    /** Reports that a member's status changed or was set for the first time. */
    void statusChanged(MemberEntry entry, long nowNanos);
  }

  private static final long SECOND_NANOS = 1_000_000_000;

  /**
   * How far an incarnation may be ahead of this process's clock, in seconds. Incarnations start as
   * the wall clock's Unix seconds. Guards against an update whose incarnation is so high that the
   * member it is about could never refute it.
   */
  private static final long MAX_INCARNATION_AHEAD_SECONDS = 2 * 86_400;

  private final MembershipTable table;
  private final LocalMember local;
  private final SuspicionTimers suspicions;
  private final GossipQueue gossip;
  private final Refutation refutation;
  private final Listener listener;

  UpdateMerger(
      MembershipTable table,
      LocalMember local,
      SuspicionTimers suspicions,
      GossipQueue gossip,
      Refutation refutation,
      Listener listener) {
    this.table = table;
    this.local = local;
    this.suspicions = suspicions;
    this.gossip = gossip;
    this.refutation = refutation;
    this.listener = listener;
  }

  /** Merges an update that was received from another member or made by this process. */
  void merge(MemberUpdate update, long nowNanos) {
    if (update.incarnation() > nowNanos / SECOND_NANOS + MAX_INCARNATION_AHEAD_SECONDS) {
      return;
    }
    if (update.name().equals(local.name())) {
      refutation.updateAboutSelf(update, nowNanos);
      return;
    }
    Optional<MemberEntry> existing = table.find(update.name());
    if (existing.isPresent()) {
      mergeInto(existing.get(), update, nowNanos);
    } else if (table.hasRoom()) {
      MemberEntry entry = table.add(update);
      listener.memberAdded(entry);
      updateApplied(entry, Optional.empty(), nowNanos);
    }
  }

  /** Creates an update about another member with this process as reporter, and merges it. */
  void declare(MemberEntry entry, MemberStatus status, long nowNanos) {
    MemberUpdate current = entry.update;
    merge(
        new MemberUpdate(
            current.name(),
            current.address(),
            current.incarnation(),
            current.instanceId(),
            status,
            local.name()),
        nowNanos);
  }

  private void mergeInto(MemberEntry entry, MemberUpdate update, long nowNanos) {
    if (update.supersedes(entry.update)) {
      MemberStatus previousStatus = entry.status();
      entry.update = update;
      entry.reporters.clear();
      updateApplied(entry, Optional.of(previousStatus), nowNanos);
    } else if (suspicions.confirm(entry, update)) {
      gossip.enqueue(update.name());
    }
  }

  private void updateApplied(
      MemberEntry entry, Optional<MemberStatus> previousStatus, long nowNanos) {
    if (entry.status() == MemberStatus.SUSPECTED) {
      suspicions.start(entry, nowNanos);
    }
    gossip.enqueue(entry.update.name());
    if (previousStatus.isEmpty() || previousStatus.get() != entry.status()) {
      entry.statusChangedAtNanos = nowNanos;
      table.recount(nowNanos);
      listener.statusChanged(entry, nowNanos);
    }
  }
}
