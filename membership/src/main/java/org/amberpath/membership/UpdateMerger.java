package org.amberpath.membership;

import java.util.Optional;

/**
 * Merges updates into the {@link MembershipTable}: one that takes precedence replaces what is held,
 * is spread further, and starts or ends a suspicion.
 */
final class UpdateMerger {
  /** What follows from a merge. */
  interface Listener {
    /** A member became known; called before its first status. */
    void memberAdded(MemberEntry entry);

    /** A member has another status than before, or its first. */
    void statusChanged(MemberEntry entry, long nowNanos);
  }

  private static final long SECOND_NANOS = 1_000_000_000;

  /**
   * Incarnations begin with a wall clock's seconds. Guards against an update so far ahead of this
   * process's clock that it could never be refuted.
   */
  private static final long MAX_SECONDS_AHEAD = 2 * 86_400;

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

  /** Takes an update that was heard or made here. */
  void merge(MemberUpdate update, long nowNanos) {
    if (update.incarnation() > nowNanos / SECOND_NANOS + MAX_SECONDS_AHEAD) {
      return;
    }
    if (update.name().equals(local.name())) {
      refutation.updateAboutSelf(update, nowNanos);
      return;
    }
    Optional<MemberEntry> held = table.find(update.name());
    if (held.isPresent()) {
      mergeInto(held.get(), update, nowNanos);
    } else if (table.hasRoom()) {
      MemberEntry entry = table.add(update);
      listener.memberAdded(entry);
      replaced(entry, Optional.empty(), nowNanos);
    }
  }

  /** Makes this process's own update about another member, and merges it. */
  void declare(MemberEntry entry, MemberStatus status, long nowNanos) {
    MemberUpdate held = entry.update;
    merge(
        new MemberUpdate(
            held.name(),
            held.address(),
            held.incarnation(),
            held.instanceId(),
            status,
            local.name()),
        nowNanos);
  }

  private void mergeInto(MemberEntry entry, MemberUpdate update, long nowNanos) {
    if (update.supersedes(entry.update)) {
      MemberStatus before = entry.status();
      entry.update = update;
      entry.reporters.clear();
      replaced(entry, Optional.of(before), nowNanos);
    } else if (suspicions.confirm(entry, update)) {
      gossip.enqueue(update.name());
    }
  }

  private void replaced(MemberEntry entry, Optional<MemberStatus> before, long nowNanos) {
    if (entry.status() == MemberStatus.SUSPECTED) {
      suspicions.start(entry, nowNanos);
    }
    gossip.enqueue(entry.update.name());
    if (before.isEmpty() || before.get() != entry.status()) {
      entry.changedAtNanos = nowNanos;
      table.recount(nowNanos);
      listener.statusChanged(entry, nowNanos);
    }
  }
}
