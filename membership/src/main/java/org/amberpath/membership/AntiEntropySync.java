package org.amberpath.membership;

import java.util.List;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * Anti-entropy by push-pull synchronization: exchanges the member list with other members in both
 * directions, one page per message, so that a member also receives updates that gossip did not
 * deliver to it.
 *
 * <p>The cursor is the name at which the last received page ended. The next request continues from
 * the cursor, whichever member receives it. The next page is requested immediately while this
 * process has not received a complete member list or while its digest of present members differs
 * from the sender's. Once the list is complete and the digests agree, one page is requested about
 * every {@value #SYNC_PERIODS} probe intervals.
 */
final class AntiEntropySync {
  private static final int SYNC_PERIODS = 8;

  /**
   * On average one of this many requests goes to a seed, so that groups of members that have never
   * exchanged a message discover one another.
   */
  private static final int SEED_ONE_IN = 4;

  /**
   * In a large fleet, the number of requests that all members together send to seeds in the time in
   * which one member sends one request.
   */
  private static final int SEED_REQUESTERS = 8;

  private final SwimContext context;
  private final List<String> seeds;
  private long nextSyncNanos;
  private boolean viewsDiffer;
  private long requestNumber;

  /** The member name after which the next page begins; empty for the beginning of the list. */
  private Optional<String> cursor = Optional.empty();

  /** Whether every page since the beginning of the list came from a fully synced member. */
  private boolean pagesFromSynced = true;

  AntiEntropySync(SwimContext context, List<String> seeds, long nowNanos) {
    this.context = context;
    this.seeds = seeds;
    nextSyncNanos = nowNanos;
  }

  /**
   * Called when the first other member is added to the table: requests a page at the next tick,
   * unless this process is already fully synced.
   */
  void firstContact(long nowNanos) {
    if (!context.local().isFullySynced()) {
      nextSyncNanos = nowNanos;
    }
  }

  /**
   * Called after this process was paused: marks its member list as outdated and requests it again
   * from the beginning.
   */
  void restart(long nowNanos) {
    context.local().listOutdated();
    cursor = Optional.empty();
    pagesFromSynced = true;
    nextSyncNanos = nowNanos;
  }

  /** Compares the sender's digest of present members with the local digest. */
  void compare(GossipMessage message) {
    viewsDiffer = message.presentDigest() != context.table().presentDigest();
  }

  /** Sends the requested page of the member list to the sender of the request. */
  void answer(GossipMessage request) {
    context
        .sender()
        .sendPage(
            request.sender(),
            Kind.PAGE,
            request.probeNumber(),
            Optional.ofNullable(request.subject()));
  }

  /**
   * Processes a received page. A page is ignored unless it answers the latest request and begins at
   * the cursor.
   */
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
      // Guards against an incomplete list: a member that has just started sends the few members it
      // knows. Its list is accepted only once the join timeout has passed, when the complete fleet
      // may have just started.
      if (pagesFromSynced || context.local().joinTimeoutPassed(nowNanos)) {
        context.local().fullListHeard();
      }
      cursor = Optional.empty();
      pagesFromSynced = true;
    }
  }

  /** Requests the next page from a random present member or a seed when the sync is due. */
  void syncIfDue(long nowNanos) {
    if (nowNanos < nextSyncNanos) {
      return;
    }
    boolean synced = context.local().isFullySynced();
    long periodNanos = context.timings().probeIntervalNanos();
    long intervalNanos = synced && !viewsDiffer ? SYNC_PERIODS * periodNanos : periodNanos;
    nextSyncNanos = nowNanos + intervalNanos / 2 + context.random().nextLong(intervalNanos);
    Optional<MemberEntry> member = context.table().any(context.random(), MemberEntry::isPresent);
    // Guards the seeds of a large fleet against a request rate that grows with the fleet's size.
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
