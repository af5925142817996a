package org.amberpath.registry;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * Keeps a {@link RegistryView} in sync with the registry: decides what to request from which
 * endpoint, and when. Callers pass in responses and the current time, and the session issues {@link
 * WatchCommands}; it has no socket, thread or clock. Times are nanoseconds of one monotonic clock.
 *
 * <p>Two watches on two endpoints deliver each change ({@link WatchStream}). Heartbeats show
 * whether the view is current, so that watches that deliver nothing are detected ({@link
 * HeartbeatMonitor}). A resync closes a gap ({@link WatchResync}): a list of the keys written since
 * the view's revision or, if keys may have been deleted or a new history of revisions has begun, of
 * all keys ({@link PagedListing}).
 *
 * <p>Bounds: the configured endpoints; one list in total, two watches, and one heartbeat per
 * endpoint open at once; new connections at the rate of {@link RequestRateLimiter}. All calls come
 * from one thread.
 */
public final class WatchSession {
  /** How current the view is known to be. Log lines name the phases. */
  public enum Phase {
    /**
     * Initial phase: nothing was received from the registry yet. With a view restored from a
     * snapshot, it becomes BEHIND when the first list is requested.
     */
    EMPTY,
    /**
     * The view held all that the registry held when the last answered heartbeat or list was sent.
     */
    CURRENT,
    /** A resync is reading what the view lacks. */
    BEHIND,
    /**
     * No endpoint has responded for a second; only a response that shows the view to be current
     * ends this phase.
     */
    CUT_OFF;

    /** Whether the transition from this phase to the given one is legal. */
    public boolean allows(Phase next) {
      return switch (next) {
        case EMPTY -> false;
        case BEHIND -> this != CUT_OFF;
        case CURRENT, CUT_OFF -> true;
      };
    }
  }

  /**
   * Cluster id and revision in a response.
   *
   * @param cluster the registry's cluster id; empty if the protocol has none
   * @param revision the registry's revision at the time of the response; 0 if the response has none
   */
  public record Header(String cluster, long revision) {}

  private static final long MS = 1_000_000;

  /**
   * How long a watch may take to deliver a change that a heartbeat has reported before a list is
   * requested instead.
   */
  private static final long SETTLE_NANOS = 20 * MS;

  /**
   * How long a change whose writer did not touch the tip may go unnoticed while the watches deliver
   * nothing.
   */
  private static final long AUDIT_INTERVAL_NANOS = 5000 * MS;

  private final RegistryView view;
  private final Consumer<String> log;
  private final RegistryEndpointSelector endpoints;
  private final OpenCalls calls;
  private final WatchResync resync = new WatchResync();
  private final HeartbeatMonitor heartbeats;
  private final AnswerValidator answerValidator;
  private final CallFailureHandler failureHandler;
  private final PagedListing listing;
  private final WatchStream watches;
  private Phase phase = Phase.EMPTY;
  private boolean isStarted;
  private long lastTickNanos;

  /**
   * Creates a session; it sends nothing before {@link #start}.
   *
   * @param log receives a line for each phase transition, each new history of revisions, and each
   *     endpoint failure that an operator can act on
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
    answerValidator = new AnswerValidator(auditor, resync, heartbeats, watches, calls, log);
    failureHandler = new CallFailureHandler(calls, heartbeats, listing, log);
  }

  /** How current the view is known to be. */
  public Phase phase() {
    return phase;
  }

  /** Number of open watches. */
  public int watchCount() {
    return endpoints.openWatchCount();
  }

  /** Number of calls that have not ended. */
  public int openCallCount() {
    return calls.count();
  }

  /** Starts the session; called once. */
  public void start(long nowNanos) {
    isStarted = true;
    calls.start(nowNanos);
    answerValidator.start(nowNanos);
    heartbeats.start(nowNanos);
    tick(nowNanos);
  }

  /**
   * Clears all backoffs after a reload of the certificate and credential files, since keys or
   * tokens may have changed: every endpoint may be asked at once. Open watches stay open.
   */
  public void settingsReloaded(long nowNanos) {
    endpoints.resetBackoffs();
    tick(nowNanos);
  }

  /** When {@link #tick} is next due. */
  public long nextTickNanos() {
    // What was due at the last tick was tried then, and is tried again with the next heartbeat.
    long dueNanos = calls.earliestDeadline(heartbeats.nextDueNanos(lastTickNanos));
    long settledAtNanos = heartbeats.newestTipAtNanos() + SETTLE_NANOS;
    return isBehindTip() && settledAtNanos > lastTickNanos
        ? Math.min(dueNanos, settledAtNanos)
        : dueNanos;
  }

  private boolean isBehindTip() {
    return heartbeats.newestTipRevision() > view.appliedRevision();
  }

  /**
   * Advances the session to the given time: fails calls that are past their deadline, and sends the
   * requests that are due.
   */
  public void tick(long nowNanos) {
    if (!isStarted) {
      return;
    }
    lastTickNanos = nowNanos;
    for (RegistryCall call : calls.all()) {
      if (nowNanos >= call.deadlineNanos && calls.isOpen(call)) {
        failureHandler.cancelAndFail(nowNanos, call, RegistryFailure.TIMED_OUT);
      }
    }
    if (nowNanos - answerValidator.lastAnswerAtNanos() > RegistryEndpoint.CONTACT_LOST_NANOS
        && phase != Phase.CUT_OFF) {
      // While no endpoint was reachable, the registry may have been replaced by another one with
      // the same revisions.
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
        .findLagging(nowNanos, heartbeats.newestTipRevision(), heartbeats.newestTipAtNanos())
        .forEach(call -> failureHandler.cancelAndFail(nowNanos, call, RegistryFailure.LAGGING));
    listing
        .findStalled(nowNanos, heartbeats.answeredAtNanos())
        .ifPresent(call -> failureHandler.cancelAndFail(nowNanos, call, RegistryFailure.TIMED_OUT));
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
      throw new IllegalStateException("illegal phase transition: " + phase + " -> " + next);
    }
    log.accept(phase + " -> " + next);
    phase = next;
  }

  // ---- Responses from the registry.

  /**
   * Handles the response to a heartbeat.
   *
   * @param tipRevision the revision at which the tip was last written; 0 if the tip doesn't exist
   */
  public void heartbeatReceived(long nowNanos, long id, Header header, long tipRevision) {
    Optional<HeartbeatCall> found = calls.find(id, HeartbeatCall.class);
    if (found.isEmpty()) {
      return;
    }
    HeartbeatCall call = found.get();
    calls.close(call);
    heartbeats.recordAnswer(nowNanos, call);
    if (answerValidator.isFromOwnCluster(nowNanos, call, header)
        && answerValidator.continuesHistory(nowNanos, call, header.revision(), tipRevision)
        && view.hasData()) {
      compareTip(nowNanos, call, header, tipRevision);
    }
    tick(nowNanos);
  }

  private void compareTip(long nowNanos, HeartbeatCall call, Header header, long tipRevision) {
    boolean isAuditDue = nowNanos - listing.completedAtNanos() > AUDIT_INTERVAL_NANOS;
    if (header.revision() > view.appliedRevision() && isAuditDue) {
      resync.require(WatchResync.Scope.CHANGES);
    }
    if (tipRevision > view.appliedRevision()) {
      heartbeats.recordTip(nowNanos, tipRevision);
    } else if (!resync.isNeeded()) {
      heartbeats.recordTip(nowNanos, tipRevision);
      view.confirm(call.sentAtNanos);
      transitionTo(Phase.CURRENT);
    }
  }

  /**
   * Handles a page of a list, or the response to a blocking read.
   *
   * @param hasMore whether further keys follow those of this page
   * @param totalCount total number of keys; negative if a response always holds all keys, whatever
   *     was requested
   */
  public void pageReceived(
      long nowNanos,
      long id,
      Header header,
      List<RegistryEntry> entries,
      boolean hasMore,
      long totalCount) {
    RegistryPage page = new RegistryPage(header, entries, hasMore, totalCount);
    calls.find(id, ListCall.class).ifPresent(call -> handleListPage(nowNanos, call, page));
    calls.find(id, WatchCall.class).ifPresent(call -> handleBlockingRead(nowNanos, call, page));
  }

  private void handleListPage(long nowNanos, ListCall call, RegistryPage page) {
    if (call.revision == 0) {
      if (!answerValidator.isFromOwnCluster(nowNanos, call, page.header())
          || (!resync.isNewHistory()
              && !answerValidator.continuesHistory(nowNanos, call, page.header().revision(), -1))) {
        calls.close(call);
        tick(nowNanos);
        return;
      }
      listing.recordFirstPage(call, page);
    }
    answerValidator.recordAnswer(nowNanos, call.endpoint);
    switch (listing.addPage(nowNanos, call, page)) {
      case TOO_LONG -> failureHandler.cancelAndFail(nowNanos, call, RegistryFailure.UNREADABLE);
      case COMPLETE -> {
        listing.apply(nowNanos, call, heartbeats.newestTipRevision());
        if (!resync.isNeeded()) {
          transitionTo(Phase.CURRENT);
        }
      }
      case CONTINUED -> {}
      default -> throw new IllegalStateException("unknown result of adding a page");
    }
    tick(nowNanos);
  }

  private void handleBlockingRead(long nowNanos, WatchCall call, RegistryPage page) {
    calls.close(call);
    if (answerValidator.isFromOwnCluster(nowNanos, call, page.header())
        && answerValidator.continuesHistory(nowNanos, call, page.header().revision(), -1)
        && !resync.needsAllKeys()) {
      watches.handleBlockingRead(nowNanos, call, page);
    }
    tick(nowNanos);
  }

  /** Handles the server's confirmation that a watch is open. */
  public void watchOpened(long nowNanos, long id, Header header) {
    calls
        .find(id, WatchCall.class)
        .ifPresent(
            call -> {
              if (answerValidator.isFromOwnCluster(nowNanos, call, header)) {
                watches.markOpen(nowNanos, call);
              } else if (calls.isOpen(call)) {
                calls.cancel(call);
              }
            });
    tick(nowNanos);
  }

  /**
   * Handles a frame of a watch. One without events is a progress notification: no key changed up to
   * the header's revision.
   *
   * @param partial whether more events of the last revision follow in another frame
   */
  public void eventsReceived(
      long nowNanos, long id, Header header, List<WatchEvent> events, boolean partial) {
    Optional<WatchCall> found = calls.find(id, WatchCall.class).filter(call -> call.isOpen);
    if (found.isEmpty()) {
      return;
    }
    WatchCall call = found.get();
    if (!answerValidator.isFromOwnCluster(nowNanos, call, header)) {
      if (calls.isOpen(call)) {
        calls.cancel(call);
      }
    } else if (!watches.handleFrame(nowNanos, call, header, events, partial)) {
      failureHandler.cancelAndFail(nowNanos, call, RegistryFailure.UNREADABLE);
    }
    tick(nowNanos);
  }

  /**
   * Handles the response that a compaction has removed the requested revision: the one at which a
   * watch was to start, or at which a list is read.
   */
  public void compacted(long nowNanos, long id) {
    calls
        .find(id, ListCall.class)
        .ifPresent(
            call -> {
              handleCompaction(nowNanos, call);
              listing.recordCompaction(call);
            });
    calls.find(id, WatchCall.class).ifPresent(call -> handleCompaction(nowNanos, call));
    tick(nowNanos);
  }

  private void handleCompaction(long nowNanos, RegistryCall call) {
    calls.close(call);
    resync.require(WatchResync.Scope.CHANGES_AFTER_COMPACTION);
    answerValidator.recordAnswer(nowNanos, call.endpoint);
  }

  /**
   * Handles the failure of a call.
   *
   * @param retryAfterNanos the delay that the server asked for; 0 for none
   */
  public void callFailed(long nowNanos, long id, RegistryFailure failure, long retryAfterNanos) {
    calls
        .find(id, RegistryCall.class)
        .ifPresent(call -> failureHandler.handleFailure(nowNanos, call, failure, retryAfterNanos));
    tick(nowNanos);
  }
}
