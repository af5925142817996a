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
 * every {@value #SYNCED_INTERVAL_PERIODS} probe intervals.
 */
final class AntiEntropySync {
  private static final int SYNCED_INTERVAL_PERIODS = 8;

  /**
   * On average one of this many requests goes to a seed, so that groups of members that have never
   * exchanged a message discover one another.
   */
  private static final int REQUESTS_PER_SEED_REQUEST = 4;

  /**
   * In a large fleet, the number of requests that all members together send to seeds in the time in
   * which one member sends one request.
   */
  private static final int FLEET_SEED_REQUESTS = 8;

  private final SwimContext context;
  private final List<String> seeds;
  private long nextSyncNanos;

  /**
   * Whether the last received message carried another digest of present members than the local one.
   */
  private boolean digestsDiffer;

  private long requestNumber;

  /** The member name after which the next page begins; empty for the beginning of the list. */
  private Optional<String> cursor = Optional.empty();

  /** Whether every page since the beginning of the list came from a fully synced member. */
  private boolean pagesFromSyncedMembers = true;

  AntiEntropySync(SwimContext context, List<String> seeds, long nowNanos) {
    this.context = context;
    this.seeds = seeds;
    nextSyncNanos = nowNanos;
  }

  /**
   * Called when the first other member is added to the table: requests a page at the next tick,
   * unless this process is already fully synced.
   */
  void firstMemberAdded(long nowNanos) {
    if (!context.local().isFullySynced()) {
      nextSyncNanos = nowNanos;
    }
  }

  /**
   * Called after this process was paused: marks its member list as outdated and requests it again
   * from the beginning.
   */
  void restartAfterPause(long nowNanos) {
    context.local().markOutdated();
    cursor = Optional.empty();
    pagesFromSyncedMembers = true;
    nextSyncNanos = nowNanos;
  }

  /** Compares the sender's digest of present members with the local digest. */
  void compareDigest(GossipMessage message) {
    digestsDiffer = message.presentDigest() != context.table().presentDigest();
  }

  /** Sends the requested page of the member list to the sender of the request. */
  void sendRequestedPage(GossipMessage request) {
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
    pagesFromSyncedMembers &= page.fullySynced();
    if (page.hasMore()) {
      cursor = Optional.of(page.updates().get(page.updates().size() - 1).name());
      if (!context.local().isFullySynced() || digestsDiffer) {
        context.sender().sendPage(page.sender(), Kind.SYNC, requestNumber, cursor);
      }
    } else {
      // Guards against an incomplete list: a member that has just started sends the few members it
      // knows. Its list is accepted only once the join timeout has passed, when the complete fleet
      // may have just started.
      if (pagesFromSyncedMembers || context.local().joinTimeoutPassed(nowNanos)) {
        context.local().markFullySynced();
      }
      cursor = Optional.empty();
      pagesFromSyncedMembers = true;
    }
  }

  /** Requests the next page from a random present member or a seed when the sync is due. */
  void syncIfDue(long nowNanos) {
    if (nowNanos < nextSyncNanos) {
      return;
    }
    boolean synced = context.local().isFullySynced();
    long periodNanos = context.timings().probeIntervalNanos();
    long intervalNanos =
        synced && !digestsDiffer ? SYNCED_INTERVAL_PERIODS * periodNanos : periodNanos;
    nextSyncNanos = nowNanos + intervalNanos / 2 + context.random().nextLong(intervalNanos);
    Optional<MemberEntry> member =
        context.table().randomMember(context.random(), MemberEntry::isPresent);
    // Guards the seeds of a large fleet against a request rate that grows with the fleet's size.
    int requestsPerSeedRequest =
        synced
            ? Math.max(
                REQUESTS_PER_SEED_REQUEST, context.table().countedMembers() / FLEET_SEED_REQUESTS)
            : REQUESTS_PER_SEED_REQUEST;
    if (member.isPresent()
        && (seeds.isEmpty() || context.random().nextInt(requestsPerSeedRequest) > 0)) {
      requestPage(member.get().update);
    } else if (!seeds.isEmpty()) {
      requestPage(Seeds.randomSeed(seeds, context.random()));
    }
  }

  private void requestPage(MemberUpdate receiver) {
    requestNumber = context.sender().nextProbeNumber();
    context.sender().sendPage(receiver, Kind.SYNC, requestNumber, cursor);
  }
}
