package org.amberpath.membership;

import java.util.List;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * Reconnects a partitioned fleet: at a bounded rate, contacts lost members and seed addresses at
 * which no present member is known, so that both sides detect when a network partition has ended.
 */
final class PartitionHealer {
  private static final int INTERVAL_PERIODS = 3;

  /**
   * How many members of the fleet, on average, contact a seed address without a present member in
   * each interval.
   */
  private static final int SEED_REQUESTS_PER_INTERVAL = 8;

  private final SwimContext context;
  private final List<String> seeds;
  private final long intervalNanos;
  private long nextAttemptNanos;

  PartitionHealer(SwimContext context, List<String> seeds, long nowNanos) {
    this.context = context;
    this.seeds = seeds;
    intervalNanos = INTERVAL_PERIODS * context.timings().probeIntervalNanos();
    nextAttemptNanos = nowNanos + intervalNanos;
  }

  /**
   * When an attempt is due, contacts a random lost member and, with a probability that falls with
   * the fleet's size, one seed address at which no present member is known.
   */
  void healIfDue(long nowNanos) {
    if (nowNanos < nextAttemptNanos) {
      return;
    }
    nextAttemptNanos = nowNanos + intervalNanos / 2 + context.random().nextLong(intervalNanos);
    context
        .table()
        .randomMember(context.random(), entry -> entry.status() == MemberStatus.LOST)
        .ifPresent(this::contactLostMember);
    contactUnoccupiedSeed();
  }

  private void contactLostMember(MemberEntry lost) {
    requestFirstPage(lost.update);
    context
        .sender()
        .send(
            lost.update,
            Kind.PING,
            context.sender().nextProbeNumber(),
            context.gossip().updatesFor(lost));
  }

  /**
   * Guards against a member that stays isolated because it started at a seed address while all
   * other seeds were down: only members that know the seed address can discover it.
   */
  private void contactUnoccupiedSeed() {
    List<String> unoccupied = seeds.stream().filter(seed -> !hasPresentMemberAt(seed)).toList();
    int members = context.table().countedMembers();
    if (!unoccupied.isEmpty() && context.random().nextInt(members) < SEED_REQUESTS_PER_INTERVAL) {
      requestFirstPage(Seeds.randomSeed(unoccupied, context.random()));
    }
  }

  private boolean hasPresentMemberAt(String address) {
    return context.table().all().stream()
        .anyMatch(entry -> entry.isPresent() && entry.update.address().equals(address));
  }

  private void requestFirstPage(MemberUpdate receiver) {
    context
        .sender()
        .sendPage(receiver, Kind.SYNC, context.sender().nextProbeNumber(), Optional.empty());
  }
}
