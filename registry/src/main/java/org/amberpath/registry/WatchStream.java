package org.amberpath.registry;

import java.util.List;
import java.util.Optional;
import org.amberpath.registry.WatchSession.Header;

/**
 * Keeps two watches open, on two endpoints. Each delivers all changes; the view skips by revision
 * what the other one has already delivered. A watch that delivers changes later than heartbeats
 * report them is given up. Times are nanoseconds.
 *
 * <p>Bounds: {@value #MAX_WATCHES} watches; as many events of an incomplete revision as the view
 * may hold keys.
 */
final class WatchStream {
  private static final long MS = 1_000_000;
  private static final long OPEN_TIMEOUT_NANOS = 500 * MS;

  /** The longest time that a watch may take to deliver a change that a heartbeat has reported. */
  static final long MAX_LAG_NANOS = 150 * MS;

  /** A watch that was open for this long counts as stable, and its backoff is reset. */
  private static final long STABLE_AFTER_NANOS = 1000 * MS;

  /** A blocking read that returns sooner counts as a failure of the watch. */
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

  /** Opens the missing watches, each at the revision after the view's. */
  void openDue(long nowNanos) {
    if (!view.hasData() || !resync.allowsWatches()) {
      return;
    }
    long count = endpoints.watchCount();
    for (RegistryEndpoint endpoint : endpoints.available(nowNanos)) {
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

  /**
   * Marks a watch as opened by the server. It has no deadline any more, but is given up if it lags.
   */
  void markOpen(long nowNanos, WatchCall call) {
    call.isOpen = true;
    call.openedAtNanos = nowNanos;
    call.deadlineNanos = Long.MAX_VALUE;
  }

  /**
   * Handles a frame of a watch. Events are applied to the view once those of their last revision
   * are complete.
   *
   * @param partial whether more events of the last revision follow in another frame
   * @return false if the pending events exceed their bound
   */
  boolean handleFrame(
      long nowNanos, WatchCall call, Header header, List<WatchEvent> events, boolean partial) {
    if (nowNanos - call.openedAtNanos > STABLE_AFTER_NANOS) {
      call.endpoint.watchBackoff.reset();
    }
    call.pendingEvents.addAll(events);
    if (call.pendingEvents.size() > config.maxKeys()) {
      return false;
    }
    if (!partial) {
      applyPendingEvents(nowNanos, call, header);
    }
    return true;
  }

  private void applyPendingEvents(long nowNanos, WatchCall call, Header header) {
    if (call.pendingEvents.isEmpty()) {
      // A progress notification: no key of the view changed up to the header's revision.
      call.receivedRevision = Math.max(call.receivedRevision, header.revision());
      view.advanceTo(header.revision());
      return;
    }
    WatchEvent last = call.pendingEvents.get(call.pendingEvents.size() - 1);
    call.receivedRevision = Math.max(call.receivedRevision, last.revision());
    view.applyEvents(nowNanos, List.copyOf(call.pendingEvents));
    call.pendingEvents.clear();
  }

  /** Handles the response to a blocking read, which holds all keys. */
  void handleBlockingRead(long nowNanos, WatchCall call, RegistryPage page) {
    long revision = page.header().revision();
    if (revision > view.appliedRevision()) {
      view.applySnapshot(
          nowNanos,
          new RegistryListing(page.entries(), page.header().cluster(), revision, call.sentAtNanos));
    }
    // Guards against a server that answers blocking reads at once and so causes a busy loop of
    // reads.
    if (nowNanos - call.sentAtNanos < MIN_BLOCKING_READ_NANOS) {
      call.endpoint.watchBackoff.recordFailure(nowNanos, 0);
    } else {
      call.endpoint.watchBackoff.reset();
    }
  }

  /**
   * Returns the open watches that have not delivered what a heartbeat reported {@link
   * #MAX_LAG_NANOS} ago: the connection delivers nothing, or the server lags.
   *
   * @param tipRevision the newest tip revision that a heartbeat has reported
   * @param tipAtNanos when a heartbeat first reported it
   */
  List<WatchCall> findLagging(long nowNanos, long tipRevision, long tipAtNanos) {
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

  /** Cancels all watches, including those that the server has not opened yet. */
  void cancelAll() {
    for (RegistryEndpoint endpoint : endpoints.all()) {
      if (endpoint.watch != null) {
        calls.cancel(endpoint.watch);
      }
    }
  }
}
