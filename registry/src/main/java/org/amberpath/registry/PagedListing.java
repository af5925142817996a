package org.amberpath.registry;

import java.util.Optional;

/**
 * Reads lists page by page, all pages at the revision of the first one: either all keys, or those
 * written since the view's revision. Times are nanoseconds.
 *
 * <p>Bounds: one list at a time; as many entries as the view may hold, plus one page.
 */
final class PagedListing {
  /** What follows from a received page. */
  enum PageResult {
    /** The next page was requested. */
    CONTINUED,
    /** The list is complete. */
    COMPLETE,
    /** The list exceeds its bound. */
    TOO_LONG
  }

  private static final long MS = 1_000_000;

  /**
   * Initial timeout of a list of changes. It doubles up to the maximum after lists that timed out.
   */
  private static final long FIRST_TIMEOUT_NANOS = 50 * MS;

  private static final long MAX_TIMEOUT_NANOS = 800 * MS;

  /** Factor on the timeout for a list of all keys, and for each page after the first. */
  private static final int ALL_KEYS_TIMEOUT_FACTOR = 6;

  /** The timeout is at least this many times the latency of the endpoint's last heartbeat. */
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

  /** When the last list was completed. */
  long completedAtNanos() {
    return completedAtNanos;
  }

  /**
   * Opens the call of the list that the resync needs, unless one is being read. The caller passes
   * it to {@link #send} next.
   */
  Optional<ListCall> openDue(long nowNanos) {
    if (calls.list().isPresent() || !resync.isNeeded()) {
      return Optional.empty();
    }
    return endpoints.availableForList(nowNanos).stream()
        .findFirst()
        .flatMap(endpoint -> open(nowNanos, endpoint));
  }

  private Optional<ListCall> open(long nowNanos, RegistryEndpoint endpoint) {
    boolean readsAllKeys = resync.needsAllKeys();
    long sinceRevision = readsAllKeys ? 0 : view.appliedRevision() + 1;
    // Guards against giving up each list from a registry with a long round trip: a list may take a
    // multiple of that endpoint's heartbeat latency.
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

  /** Records the revision, cluster id and key count of the first page. */
  void recordFirstPage(ListCall call, RegistryPage page) {
    call.revision = page.header().revision();
    call.clusterId = page.header().cluster();
    call.totalCount = page.totalCount();
  }

  /** Collects a page's entries, and requests the next page if there are more. */
  PageResult addPage(long nowNanos, ListCall call, RegistryPage page) {
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
   * Applies a complete list to the view. The resync then ends, unless a list of changes shows that
   * keys were deleted too: only a list of all keys shows which. If a heartbeat has already reported
   * a newer tip, another list of changes follows.
   *
   * @param newestTipRevision the newest tip revision that a heartbeat has reported
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

  /**
   * Returns the open list if its endpoint has sent nothing for two failover times while another
   * endpoint has answered a heartbeat meanwhile.
   */
  Optional<ListCall> findStalled(long nowNanos, long heartbeatAnsweredAtNanos) {
    return calls
        .list()
        .filter(
            call ->
                nowNanos - call.pageRequestedAtNanos >= 2 * endpoints.failoverNanos()
                    && call.endpoint.lastAnswerAtNanos < call.pageRequestedAtNanos
                    && heartbeatAnsweredAtNanos > call.pageRequestedAtNanos);
  }

  /** Doubles the timeout of the next list after a list has timed out. */
  void recordTimeout() {
    timeoutNanos = Math.min(MAX_TIMEOUT_NANOS, timeoutNanos * 2);
  }

  /**
   * Doubles the page size of the next list after the revision of this one was compacted. Guards
   * against a registry that compacts faster than its list can be read.
   */
  void recordCompaction(ListCall call) {
    pageSize = Math.min(MAX_PAGE_SIZE, call.pageSize * 2);
  }
}
