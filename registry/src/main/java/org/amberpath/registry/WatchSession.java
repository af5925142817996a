package org.amberpath.registry;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * A watch session: decides what is requested from which endpoint, and when, so that the view stays
 * what the registry holds. It is told what was received and what time it is, and gives commands; it
 * has no socket, thread or clock. Times are nanoseconds of one clock that only goes forward.
 *
 * <p>Two watches on two endpoints bring each change ({@link WatchStream}). Heartbeats show whether
 * the view is current, so that watches which fell silent are found out ({@link HeartbeatMonitor}).
 * A gap is closed by a watch resync ({@link WatchResync}): a list of what was written since or,
 * where keys may have been deleted or revisions given anew, of all keys ({@link PagedListing}).
 *
 * <p>Bounds: endpoints as configured; one list, two watches and one heartbeat an endpoint open at
 * once; new connections as {@link RequestRateLimiter} allows. All calls come from one thread.
 */
public final class WatchSession {
  /** How well the view is known to be what the registry holds; the log names the phases. */
  public enum Phase {
    /** Nothing is known. */
    EMPTY,
    /** The view was all that the registry held when the last heartbeat was sent. */
    CURRENT,
    /** A watch resync is under way. */
    BEHIND,
    /** No endpoint answers; only an answer that shows the view to be current ends this. */
    CUT_OFF;

    /** Whether a session of this phase may go to the next one. */
    public boolean allows(Phase next) {
      return switch (next) {
        case EMPTY -> false;
        case BEHIND -> this != CUT_OFF;
        case CURRENT, CUT_OFF -> true;
      };
    }
  }

  /** What an answer tells of the registry; revision 0 where it tells none. */
  public record Header(String cluster, long revision) {}

  private static final long MS = 1_000_000;

  /** What a watch may still bring by itself before a list is requested instead. */
  private static final long SETTLE_NANOS = 20 * MS;

  /** How long a change that touched no tip may stay unknown while all watches are silent. */
  private static final long AUDIT_NANOS = 5000 * MS;

  private final RegistryView view;
  private final Consumer<String> log;
  private final RegistryEndpointSelector endpoints;
  private final OpenCalls calls;
  private final WatchResync resync = new WatchResync();
  private final HeartbeatMonitor heartbeats;
  private final AnswerValidator answers;
  private final CallFailureHandler failures;
  private final PagedListing listing;
  private final WatchStream watches;
  private Phase phase = Phase.EMPTY;
  private boolean isStarted;
  private long tickedAtNanos;

  /**
   * Makes a session that has requested nothing yet.
   *
   * @param log takes a line for each change of phase and each endpoint that gave cause
   */
  public WatchSession(
      RegistryView view, WatchCommands commands, WatchSessionConfig config, Consumer<String> log) {
    this.view = view;
    this.log = log;
    SplittableRandom random = new SplittableRandom(config.seed());
    endpoints = new RegistryEndpointSelector(config.endpointCount(), random);
    calls = new OpenCalls(view, commands);
    heartbeats = new HeartbeatMonitor(endpoints, calls, commands, random);
    listing = new PagedListing(endpoints, calls, commands, view, resync, config.maxKeys());
    watches = new WatchStream(endpoints, calls, commands, view, resync, config);
    RevisionAuditor auditor = new RevisionAuditor(endpoints, view, resync);
    answers = new AnswerValidator(auditor, resync, heartbeats, watches, calls, log);
    failures = new CallFailureHandler(calls, heartbeats, listing, log);
  }

  /** How well the view is known to be current. */
  public Phase phase() {
    return phase;
  }

  /** How many watches are open. */
  public int watchCount() {
    return endpoints.openWatchCount();
  }

  /** How many calls have not ended. */
  public int openCallCount() {
    return calls.count();
  }

  /** Begins; called once. */
  public void start(long nowNanos) {
    isStarted = true;
    calls.start(nowNanos);
    answers.start(nowNanos);
    heartbeats.start(nowNanos);
    tick(nowNanos);
  }

  /**
   * Addresses, keys or tokens may be others now: every endpoint may be asked at once. Watches stay
   * open.
   */
  public void settingsReloaded(long nowNanos) {
    endpoints.resetBackoffs();
    tick(nowNanos);
  }

  /** When {@link #tick} is due next. */
  public long nextTickNanos() {
    // What was due already was tried in the last tick, and is tried again with the next heartbeat.
    long due = calls.earliestDeadline(heartbeats.due(tickedAtNanos));
    long settledAtNanos = heartbeats.newestTipAtNanos() + SETTLE_NANOS;
    return isBehindTip() && settledAtNanos > tickedAtNanos ? Math.min(due, settledAtNanos) : due;
  }

  private boolean isBehindTip() {
    return heartbeats.newestTipRevision() > view.appliedRevision();
  }

  /** Time has passed: calls time out, and what is due is requested. */
  public void tick(long nowNanos) {
    if (!isStarted) {
      return;
    }
    tickedAtNanos = nowNanos;
    for (RegistryCall call : calls.all()) {
      if (nowNanos >= call.deadlineNanos && calls.isOpen(call)) {
        failures.giveUp(nowNanos, call, RegistryFailure.TIMED_OUT);
      }
    }
    if (nowNanos - answers.heardAtNanos() > RegistryEndpoint.CONTACT_LOST_NANOS
        && phase != Phase.CUT_OFF) {
      // The registry may have become another one under the same revisions.
      resync.require(WatchResync.Scope.ALL_KEYS);
      transitionTo(Phase.CUT_OFF);
    }
    if (nowNanos - heartbeats.answeredAtNanos() > HeartbeatMonitor.PERIOD_NANOS) {
      endpoints.shortenBackoffs(nowNanos);
    }
    heartbeats.sendDue(nowNanos);
    boolean isSettled =
        nowNanos >= heartbeats.newestTipAtNanos() + SETTLE_NANOS || watchCount() == 0;
    if (isBehindTip() && isSettled) {
      resync.require(WatchResync.Scope.CHANGES);
    }
    watches
        .late(nowNanos, heartbeats.newestTipRevision(), heartbeats.newestTipAtNanos())
        .forEach(call -> failures.giveUp(nowNanos, call, RegistryFailure.LAGGING));
    listing
        .silent(nowNanos, heartbeats.answeredAtNanos())
        .ifPresent(call -> failures.giveUp(nowNanos, call, RegistryFailure.TIMED_OUT));
    listing.openDue(nowNanos).ifPresent(this::sendList);
    watches.openDue(nowNanos);
  }

  private void sendList(ListCall call) {
    if (view.hasData() && phase != Phase.CUT_OFF) {
      transitionTo(Phase.BEHIND);
    }
    listing.send(call);
  }

  private void transitionTo(Phase next) {
    if (phase == next) {
      return;
    }
    if (!phase.allows(next)) {
      throw new IllegalStateException(phase + " -> " + next);
    }
    log.accept(phase + " -> " + next);
    phase = next;
  }

  // ---- What was received.

  /**
   * A heartbeat was answered.
   *
   * @param tipRevision the revision at which the tip was written; 0 where there is none
   */
  public void heartbeatReceived(long nowNanos, long id, Header header, long tipRevision) {
    Optional<HeartbeatCall> found = calls.find(id, HeartbeatCall.class);
    if (found.isEmpty()) {
      return;
    }
    HeartbeatCall call = found.get();
    calls.close(call);
    heartbeats.answered(nowNanos, call);
    if (answers.isOfOwnCluster(nowNanos, call, header)
        && answers.continues(nowNanos, call, header.revision(), tipRevision)
        && view.hasData()) {
      compareTip(nowNanos, call, header, tipRevision);
    }
    tick(nowNanos);
  }

  private void compareTip(long nowNanos, HeartbeatCall call, Header header, long tipRevision) {
    boolean isAuditDue = nowNanos - listing.completedAtNanos() > AUDIT_NANOS;
    if (header.revision() > view.appliedRevision() && isAuditDue) {
      resync.require(WatchResync.Scope.CHANGES);
    }
    if (tipRevision > view.appliedRevision()) {
      heartbeats.tipReported(nowNanos, tipRevision);
    } else if (!resync.isNeeded()) {
      heartbeats.tipReported(nowNanos, tipRevision);
      view.confirm(call.sentAtNanos);
      transitionTo(Phase.CURRENT);
    }
  }

  /**
   * A page of a list, or the answer to a read that was held back.
   *
   * @param more whether there are keys after these
   * @param count how many keys there are in all; negative where the answer holds all keys whatever
   *     was asked for
   */
  public void pageReceived(
      long nowNanos,
      long id,
      Header header,
      List<RegistryEntry> entries,
      boolean more,
      long count) {
    RegistryPage page = new RegistryPage(header, entries, more, count);
    calls.find(id, ListCall.class).ifPresent(call -> listPage(nowNanos, call, page));
    calls.find(id, WatchCall.class).ifPresent(call -> blockingRead(nowNanos, call, page));
  }

  private void listPage(long nowNanos, ListCall call, RegistryPage page) {
    if (call.revision == 0) {
      if (!answers.isOfOwnCluster(nowNanos, call, page.header())
          || (!resync.isNewHistory()
              && !answers.continues(nowNanos, call, page.header().revision(), -1))) {
        calls.close(call);
        tick(nowNanos);
        return;
      }
      listing.begin(call, page);
    }
    answers.heard(nowNanos, call.endpoint);
    switch (listing.takePage(nowNanos, call, page)) {
      case TOO_LONG -> failures.giveUp(nowNanos, call, RegistryFailure.UNREADABLE);
      case COMPLETE -> {
        listing.apply(nowNanos, call, heartbeats.newestTipRevision());
        if (!resync.isNeeded()) {
          transitionTo(Phase.CURRENT);
        }
      }
      case CONTINUED -> {}
      default -> throw new IllegalStateException("unknown result of a page");
    }
    tick(nowNanos);
  }

  private void blockingRead(long nowNanos, WatchCall call, RegistryPage page) {
    calls.close(call);
    if (answers.isOfOwnCluster(nowNanos, call, page.header())
        && answers.continues(nowNanos, call, page.header().revision(), -1)
        && !resync.needsAllKeys()) {
      watches.takeBlockingRead(nowNanos, call, page);
    }
    tick(nowNanos);
  }

  /** A watch is open. */
  public void watchOpened(long nowNanos, long id, Header header) {
    calls
        .find(id, WatchCall.class)
        .ifPresent(
            call -> {
              if (answers.isOfOwnCluster(nowNanos, call, header)) {
                watches.opened(nowNanos, call);
              } else if (calls.isOpen(call)) {
                calls.cancel(call);
              }
            });
    tick(nowNanos);
  }

  /**
   * A frame of a watch. One without events is a progress notification: nothing changed up to the
   * header's revision.
   *
   * @param partial whether more events of the last revision follow
   */
  public void eventsReceived(
      long nowNanos, long id, Header header, List<WatchEvent> events, boolean partial) {
    Optional<WatchCall> found = calls.find(id, WatchCall.class).filter(call -> call.isOpen);
    if (found.isEmpty()) {
      return;
    }
    WatchCall call = found.get();
    if (!answers.isOfOwnCluster(nowNanos, call, header)) {
      if (calls.isOpen(call)) {
        calls.cancel(call);
      }
    } else if (!watches.takeFrame(nowNanos, call, header, events, partial)) {
      failures.giveUp(nowNanos, call, RegistryFailure.UNREADABLE);
    }
    tick(nowNanos);
  }

  /**
   * A compaction has removed what was requested: the revision at which a watch was to start, or at
   * which a list is read.
   */
  public void compacted(long nowNanos, long id) {
    calls
        .find(id, ListCall.class)
        .ifPresent(
            call -> {
              compactedCall(nowNanos, call);
              listing.compacted(call);
            });
    calls.find(id, WatchCall.class).ifPresent(call -> compactedCall(nowNanos, call));
    tick(nowNanos);
  }

  private void compactedCall(long nowNanos, RegistryCall call) {
    calls.close(call);
    resync.require(WatchResync.Scope.CHANGES_AFTER_COMPACTION);
    answers.heard(nowNanos, call.endpoint);
  }

  /** A call has failed; retryAfterNanos is what the server asked for, 0 for nothing. */
  public void callFailed(long nowNanos, long id, RegistryFailure why, long retryAfterNanos) {
    calls
        .find(id, RegistryCall.class)
        .ifPresent(call -> failures.failed(nowNanos, call, why, retryAfterNanos));
    tick(nowNanos);
  }
}
