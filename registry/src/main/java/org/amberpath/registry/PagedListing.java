package org.amberpath.registry;

import java.util.Optional;

/**
 * Reads lists by pages, all pages at one revision: all keys as a snapshot, or those that were
 * written since the view's revision. Times are nanoseconds.
 *
 * <p>Bounds: one list at a time; as many entries as the view may hold and one page more.
 */
final class PagedListing {
  /** What became of a page. */
  enum PageResult {
    /** The next one was requested. */
    CONTINUED,
    /** It was the last one. */
    COMPLETE,
    /** The list is longer than it may be. */
    TOO_LONG
  }

  private static final long MS = 1_000_000;

  /** How long a list of changes may take, at first and after lists that timed out. */
  private static final long FIRST_TIMEOUT_NANOS = 50 * MS;

  private static final long MAX_TIMEOUT_NANOS = 800 * MS;

  /** A list of all keys, and a page after the first, has so many times as long. */
  private static final int ALL_KEYS_TIMEOUT_FACTOR = 6;

  /** A list has so many times as long as the endpoint's last heartbeat took. */
  private static final int LATENCY_TIMEOUT_FACTOR = 3;

  private static final int FIRST_PAGE_SIZE = 1000;
  private static final int MAX_PAGE_SIZE = 16_000;

  private final RegistryEndpointSelector endpoints;
  private final OpenCalls calls;
  private final WatchCommands commands;
  private final RegistryView view;
  private final WatchResync resync;
  private final int maxKeys;
  private long timeoutNanos = FIRST_TIMEOUT_NANOS;
  private int pageSize = FIRST_PAGE_SIZE;
  private long completedAtNanos;

  PagedListing(
      RegistryEndpointSelector endpoints,
      OpenCalls calls,
      WatchCommands commands,
      RegistryView view,
      WatchResync resync,
      int maxKeys) {
    this.endpoints = endpoints;
    this.calls = calls;
    this.commands = commands;
    this.view = view;
    this.resync = resync;
    this.maxKeys = maxKeys;
  }

  /** When the last list was complete. */
  long completedAtNanos() {
    return completedAtNanos;
  }

  /** Opens the call of the list that a resync needs, if none is being read; it is sent next. */
  Optional<ListCall> openDue(long nowNanos) {
    if (calls.list().isPresent() || !resync.isNeeded()) {
      return Optional.empty();
    }
    return endpoints.readyForList(nowNanos).stream()
        .findFirst()
        .flatMap(endpoint -> open(nowNanos, endpoint));
  }

  private Optional<ListCall> open(long nowNanos, RegistryEndpoint endpoint) {
    boolean readsAllKeys = resync.needsAllKeys();
    long sinceRevision = readsAllKeys ? 0 : view.appliedRevision() + 1;
    // Guards against a registry that is far away: a list that takes its usual time is not given up.
    long changesTimeoutNanos =
        Math.max(timeoutNanos, LATENCY_TIMEOUT_FACTOR * endpoint.lastLatencyNanos);
    long listTimeoutNanos =
        readsAllKeys ? ALL_KEYS_TIMEOUT_FACTOR * changesTimeoutNanos : changesTimeoutNanos;
    return calls.open(
        nowNanos,
        endpoint,
        OpenCalls.Connection.SHARED,
        start -> new ListCall(start, listTimeoutNanos, readsAllKeys, sinceRevision, pageSize));
  }

  /** Requests the first page. */
  void send(ListCall call) {
    commands.list(call.id, call.endpoint.index, 0, "", call.sinceRevision, call.pageSize);
  }

  /** The first page shows at which revision the list is read. */
  void begin(ListCall call, RegistryPage page) {
    call.revision = page.header().revision();
    call.clusterId = page.header().cluster();
    call.totalCount = page.totalCount();
  }

  /** Takes a page, and requests the next one where there is more. */
  PageResult takePage(long nowNanos, ListCall call, RegistryPage page) {
    call.entries.addAll(page.entries());
    if (call.entries.size() > maxKeys + (long) call.pageSize) {
      return PageResult.TOO_LONG;
    }
    if (!page.hasMore() || page.entries().isEmpty()) {
      calls.close(call);
      return PageResult.COMPLETE;
    }
    call.pageRequestedAtNanos = nowNanos;
    call.deadlineNanos = nowNanos + ALL_KEYS_TIMEOUT_FACTOR * timeoutNanos;
    String lastKey = page.entries().get(page.entries().size() - 1).key();
    commands.list(
        call.id, call.endpoint.index, call.revision, lastKey, call.sinceRevision, call.pageSize);
    return PageResult.CONTINUED;
  }

  /**
   * Applies a complete list to the view; the resync is over unless deletions are missing, which
   * only a list of all keys shows.
   *
   * @param newestTipRevision the newest revision of the tip that a heartbeat showed
   */
  void apply(long nowNanos, ListCall call, long newestTipRevision) {
    pageSize = FIRST_PAGE_SIZE;
    completedAtNanos = nowNanos;
    timeoutNanos = FIRST_TIMEOUT_NANOS;
    RegistryListing listing =
        new RegistryListing(call.entries, call.clusterId, call.revision, call.sentAtNanos);
    if (resync.isNewHistory()) {
      view.applyNewHistory(nowNanos, listing);
    } else if (!call.readsAllKeys && call.totalCount >= 0) {
      if (call.revision > view.appliedRevision()
          && !view.applyWrites(nowNanos, listing, call.totalCount)) {
        resync.require(WatchResync.Scope.ALL_KEYS);
        return;
      }
    } else if (!view.hasData() || call.revision >= view.appliedRevision()) {
      view.applySnapshot(nowNanos, listing);
    }
    resync.completed(
        newestTipRevision > view.appliedRevision()
            ? WatchResync.Scope.CHANGES
            : WatchResync.Scope.NONE);
  }

  /** The list at an endpoint that fell silent, if anybody answered a heartbeat meanwhile. */
  Optional<ListCall> silent(long nowNanos, long heartbeatAnsweredAtNanos) {
    return calls
        .list()
        .filter(
            call ->
                nowNanos - call.pageRequestedAtNanos >= 2 * endpoints.failoverNanos()
                    && call.endpoint.heardAtNanos < call.pageRequestedAtNanos
                    && heartbeatAnsweredAtNanos > call.pageRequestedAtNanos);
  }

  /** A list timed out: the next one has twice as long. */
  void timedOut() {
    timeoutNanos = Math.min(MAX_TIMEOUT_NANOS, timeoutNanos * 2);
  }

  /**
   * The revision of a list was compacted. Guards against a list that is never read to its end while
   * the registry compacts: the next one has larger pages.
   */
  void compacted(ListCall call) {
    pageSize = Math.min(MAX_PAGE_SIZE, call.pageSize * 2);
  }
}
