package org.amberpath.membership;

import java.util.List;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * Tries to reach, at a bounded rate, members that are lost and seed addresses at which nobody is
 * known, so that a partition that has healed is noticed from both sides.
 */
final class PartitionHealer {
  private static final int INTERVAL_PERIODS = 3;

  /** How many members of the fleet ask an empty seed address in each interval. */
  private static final int SEED_REQUESTERS = 8;

  private final SwimContext context;
  private final List<String> seeds;
  private final long intervalNanos;
  private long nextTryNanos;

  PartitionHealer(SwimContext context, List<String> seeds, long nowNanos) {
    this.context = context;
    this.seeds = seeds;
    intervalNanos = INTERVAL_PERIODS * context.timings().probeIntervalNanos();
    nextTryNanos = nowNanos + intervalNanos;
  }

  /** Tries one lost member and one empty seed address if it is time. */
  void tryIfDue(long nowNanos) {
    if (nowNanos < nextTryNanos) {
      return;
    }
    nextTryNanos = nowNanos + intervalNanos / 2 + context.random().nextLong(intervalNanos);
    context
        .table()
        .any(context.random(), entry -> entry.status() == MemberStatus.LOST)
        .ifPresent(this::tryLost);
    askEmptySeed();
  }

  private void tryLost(MemberEntry lost) {
    requestList(lost.update);
    context
        .sender()
        .send(
            lost.update,
            Kind.PING,
            context.sender().nextProbeNumber(),
            context.gossip().updatesFor(lost));
  }

  /**
   * Guards against a member that starts at a seed address while all other seeds are down: it can be
   * found only by those that know its address.
   */
  private void askEmptySeed() {
    List<String> empty = seeds.stream().filter(seed -> !anyPresentAt(seed)).toList();
    int members = context.table().countedNames();
    if (!empty.isEmpty() && context.random().nextInt(members) < SEED_REQUESTERS) {
      requestList(Seeds.anyOf(empty, context.random()));
    }
  }

  private boolean anyPresentAt(String address) {
    return context.table().all().stream()
        .anyMatch(entry -> entry.isPresent() && entry.update.address().equals(address));
  }

  private void requestList(MemberUpdate from) {
    context
        .sender()
        .sendPage(from, Kind.SYNC, context.sender().nextProbeNumber(), Optional.empty());
  }
}
