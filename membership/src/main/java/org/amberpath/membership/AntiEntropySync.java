package org.amberpath.membership;

import java.util.List;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * Anti-entropy: exchanges the list of members both ways, a page at a time, so that what gossip
 * missed is mended. A list goes on where the last page ended, with whoever is asked next; it is
 * continued at once while no whole list was heard or the views differ. While they agree, one page
 * each {@value #SYNC_PERIODS} periods is enough.
 */
final class AntiEntropySync {
  private static final int SYNC_PERIODS = 8;

  /** One request in so many goes to a seed, so that islands that never met find one another. */
  private static final int SEED_ONE_IN = 4;

  /** How many requests go to seeds for each request of one member, by a large fleet in all. */
  private static final int SEED_REQUESTERS = 8;

  private final SwimContext context;
  private final List<String> seeds;
  private long nextSyncNanos;
  private boolean viewsDiffer;
  private long requestNumber;

  /** The name after which the list goes on. */
  private Optional<String> cursor = Optional.empty();

  /** Whether all pages since the list's beginning came from members that had a whole list. */
  private boolean pagesFromSynced = true;

  AntiEntropySync(SwimContext context, List<String> seeds, long nowNanos) {
    this.context = context;
    this.seeds = seeds;
    nextSyncNanos = nowNanos;
  }

  /** The first other member became known. */
  void firstContact(long nowNanos) {
    if (!context.local().isFullySynced()) {
      nextSyncNanos = nowNanos;
    }
  }

  /** After a standstill: the list is too old and is asked for anew. */
  void restart(long nowNanos) {
    context.local().listOutdated();
    cursor = Optional.empty();
    pagesFromSynced = true;
    nextSyncNanos = nowNanos;
  }

  /** Compares another's digest of those that are present with the own one. */
  void compare(GossipMessage message) {
    viewsDiffer = message.presentDigest() != context.table().presentDigest();
  }

  /** Answers a request with the page that it asks for. */
  void answer(GossipMessage request) {
    context
        .sender()
        .sendPage(
            request.sender(),
            Kind.PAGE,
            request.probeNumber(),
            Optional.ofNullable(request.subject()));
  }

  /** Takes a page; one that was not asked for, or was asked for before, is ignored. */
  void pageReceived(GossipMessage page, long nowNanos) {
    if (page.probeNumber() != requestNumber
        || !Optional.ofNullable(page.subject()).equals(cursor)) {
      return;
    }
    pagesFromSynced &= page.fullySynced();
    if (page.hasMore()) {
      cursor = Optional.of(page.updates().get(page.updates().size() - 1).name());
      if (!context.local().isFullySynced() || viewsDiffer) {
        context.sender().sendPage(page.sender(), Kind.SYNC, requestNumber, cursor);
      }
    } else {
      // Guards against a list from a member that has just started, unless all have.
      if (pagesFromSynced || context.local().joinTimeoutPassed(nowNanos)) {
        context.local().fullListHeard();
      }
      cursor = Optional.empty();
      pagesFromSynced = true;
    }
  }

  /** Asks for the next page if it is time. */
  void syncIfDue(long nowNanos) {
    if (nowNanos < nextSyncNanos) {
      return;
    }
    boolean synced = context.local().isFullySynced();
    long periodNanos = context.timings().probeIntervalNanos();
    long intervalNanos = synced && !viewsDiffer ? SYNC_PERIODS * periodNanos : periodNanos;
    nextSyncNanos = nowNanos + intervalNanos / 2 + context.random().nextLong(intervalNanos);
    Optional<MemberEntry> member = context.table().any(context.random(), MemberEntry::isPresent);
    // Guards the seeds of a large fleet.
    int seedOneIn =
        synced
            ? Math.max(SEED_ONE_IN, context.table().countedNames() / SEED_REQUESTERS)
            : SEED_ONE_IN;
    if (member.isPresent() && (seeds.isEmpty() || context.random().nextInt(seedOneIn) > 0)) {
      request(member.get().update);
    } else if (!seeds.isEmpty()) {
      request(Seeds.anyOf(seeds, context.random()));
    }
  }

  private void request(MemberUpdate from) {
    requestNumber = context.sender().nextProbeNumber();
    context.sender().sendPage(from, Kind.SYNC, requestNumber, cursor);
  }
}
