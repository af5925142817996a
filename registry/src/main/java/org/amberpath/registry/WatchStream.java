package org.amberpath.registry;

import java.util.List;
import java.util.Optional;
import org.amberpath.registry.WatchSession.Header;

/**
 * Keeps two watches open on two endpoints. Each brings all changes; what one has brought is passed
 * over, by its revision, when the other one brings it. A watch that stays behind what heartbeats
 * show is left. Times are nanoseconds.
 *
 * <p>Bounds: {@value #MAX_WATCHES} watches; as many events of an incomplete revision as the view
 * may hold keys.
 */
final class WatchStream {
  private static final long MS = 1_000_000;
  private static final long OPEN_TIMEOUT_NANOS = 500 * MS;

  /** What a heartbeat showed must have come by a watch within this time. */
  static final long MAX_LAG_NANOS = 150 * MS;

  /** A watch that was open for this long counts as steady: its backoff begins anew. */
  private static final long STEADY_NANOS = 1000 * MS;

  /** A held-back read that returns sooner counts as a failure of the watch. */
  private static final long MIN_BLOCKING_READ_NANOS = 20 * MS;

  private static final int MAX_WATCHES = 2;

  private final RegistryEndpointSelector endpoints;
  private final OpenCalls calls;
  private final WatchCommands commands;
  private final RegistryView view;
  private final WatchResync resync;
  private final WatchSessionConfig config;

  WatchStream(
      RegistryEndpointSelector endpoints,
      OpenCalls calls,
      WatchCommands commands,
      RegistryView view,
      WatchResync resync,
      WatchSessionConfig config) {
    this.endpoints = endpoints;
    this.calls = calls;
    this.commands = commands;
    this.view = view;
    this.resync = resync;
    this.config = config;
  }

  /** Opens the watches that are missing, each at the revision after the view's. */
  void openDue(long nowNanos) {
    if (!view.hasData() || !resync.allowsWatches()) {
      return;
    }
    long count = endpoints.watchCount();
    for (RegistryEndpoint endpoint : endpoints.ready(nowNanos)) {
      if (count >= Math.min(MAX_WATCHES, endpoints.count())) {
        return;
      }
      if (endpoint.watch == null && endpoint.watchBackoff.allows(nowNanos)) {
        Optional<WatchCall> call = open(nowNanos, endpoint);
        if (call.isEmpty()) {
          return;
        }
        count++;
        commands.watch(call.get().id, endpoint.index, view.appliedRevision() + 1);
      }
    }
  }

  private Optional<WatchCall> open(long nowNanos, RegistryEndpoint endpoint) {
    return config.hasBlockingReads()
        ? calls.open(
            nowNanos,
            endpoint,
            OpenCalls.Connection.SHARED,
            start -> new WatchCall(start, config.blockingTimeNanos() + OPEN_TIMEOUT_NANOS, true))
        : calls.open(
            nowNanos,
            endpoint,
            OpenCalls.Connection.DEDICATED,
            start -> new WatchCall(start, OPEN_TIMEOUT_NANOS, false));
  }

  /** The server has opened a watch; from now on it stays open for as long as it brings changes. */
  void opened(long nowNanos, WatchCall call) {
    call.isOpen = true;
    call.openedAtNanos = nowNanos;
    call.deadlineNanos = Long.MAX_VALUE;
  }

  /**
   * Takes a frame. Events are replayed into the view once their last revision is complete.
   *
   * @param partial whether more events of the last revision follow
   * @return whether the bound on events held back is kept
   */
  boolean takeFrame(
      long nowNanos, WatchCall call, Header header, List<WatchEvent> events, boolean partial) {
    if (nowNanos - call.openedAtNanos > STEADY_NANOS) {
      call.endpoint.watchBackoff.reset();
    }
    call.pendingEvents.addAll(events);
    if (call.pendingEvents.size() > config.maxKeys()) {
      return false;
    }
    if (!partial) {
      replay(nowNanos, call, header);
    }
    return true;
  }

  private void replay(long nowNanos, WatchCall call, Header header) {
    if (call.pendingEvents.isEmpty()) {
      // A progress notification: nothing of these keys changed up to the header's revision.
      call.receivedRevision = Math.max(call.receivedRevision, header.revision());
      view.advanceTo(header.revision());
      return;
    }
    WatchEvent last = call.pendingEvents.get(call.pendingEvents.size() - 1);
    call.receivedRevision = Math.max(call.receivedRevision, last.revision());
    view.applyEvents(nowNanos, List.copyOf(call.pendingEvents));
    call.pendingEvents.clear();
  }

  /** Takes the answer of a read that was held back: all keys. */
  void takeBlockingRead(long nowNanos, WatchCall call, RegistryPage page) {
    long revision = page.header().revision();
    if (revision > view.appliedRevision()) {
      view.applySnapshot(
          nowNanos,
          new RegistryListing(page.entries(), page.header().cluster(), revision, call.sentAtNanos));
    }
    // Guards against a server that answers at once for ever.
    if (nowNanos - call.sentAtNanos < MIN_BLOCKING_READ_NANOS) {
      call.endpoint.watchBackoff.recordFailure(nowNanos, 0);
    } else {
      call.endpoint.watchBackoff.reset();
    }
  }

  /**
   * Watches that have not brought what a heartbeat showed: silent though open, or of a server that
   * lags.
   *
   * @param tipRevision the newest revision of the tip that a heartbeat showed
   * @param tipAtNanos when a heartbeat first showed it
   */
  List<WatchCall> late(long nowNanos, long tipRevision, long tipAtNanos) {
    if (nowNanos < tipAtNanos + MAX_LAG_NANOS) {
      return List.of();
    }
    return endpoints.all().stream()
        .filter(RegistryEndpoint::hasOpenWatch)
        .map(endpoint -> endpoint.watch)
        .filter(
            call ->
                call.receivedRevision < tipRevision
                    && nowNanos >= Math.max(call.openedAtNanos, call.sentAtNanos) + MAX_LAG_NANOS)
        .toList();
  }

  /** Gives all watches up, those that are not open yet too. */
  void cancelAll() {
    for (RegistryEndpoint endpoint : endpoints.all()) {
      if (endpoint.watch != null) {
        calls.cancel(endpoint.watch);
      }
    }
  }
}
