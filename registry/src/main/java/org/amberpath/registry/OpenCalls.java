package org.amberpath.registry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Tracks the open calls of a session in the order in which they were sent, and limits them: one
 * list in total, one watch and one heartbeat per endpoint, and new connections at the rate of
 * {@link RequestRateLimiter}.
 */
final class OpenCalls {
  /** The connection that a call uses. */
  enum Connection {
    /**
     * A pooled connection. One exists if the endpoint is in contact; otherwise the call opens a new
     * one, which counts against the rate limit.
     */
    SHARED,
    /** Always a new connection. */
    DEDICATED
  }

  private final Map<Long, RegistryCall> calls = new LinkedHashMap<>();
  private final RegistryView view;
  private final WatchCommands commands;
  private final RequestRateLimiter rateLimiter = new RequestRateLimiter();
  private ListCall list;
  private long lastId;

  OpenCalls(RegistryView view, WatchCommands commands) {
    this.view = view;
    this.commands = commands;
  }

  void start(long nowNanos) {
    rateLimiter.start(nowNanos);
  }

  int count() {
    return calls.size();
  }

  List<RegistryCall> all() {
    return List.copyOf(calls.values());
  }

  boolean isOpen(RegistryCall call) {
    return calls.get(call.id) == call;
  }

  /** Returns the open call with this id if it is of the given kind. */
  <C extends RegistryCall> Optional<C> find(long id, Class<C> kind) {
    RegistryCall call = calls.get(id);
    return kind.isInstance(call) ? Optional.of(kind.cast(call)) : Optional.empty();
  }

  /** The list that is being read; empty if none is open. */
  Optional<ListCall> list() {
    return Optional.ofNullable(list);
  }

  /** Returns the earliest deadline of the open calls, or the given time if that is earlier. */
  long earliestDeadline(long defaultNanos) {
    long earliest = defaultNanos;
    for (RegistryCall call : calls.values()) {
      earliest = Math.min(earliest, call.deadlineNanos);
    }
    return earliest;
  }

  /**
   * Creates and registers a call; the caller sends it. Returns empty if the call needs a new
   * connection and the rate limit allows none now.
   *
   * @param factory creates the call from what is known when it is sent
   */
  <C extends RegistryCall> Optional<C> open(
      long nowNanos,
      RegistryEndpoint endpoint,
      Connection connection,
      Function<RegistryCall.Start, C> factory) {
    boolean needsConnection = connection == Connection.DEDICATED || !endpoint.isInContact(nowNanos);
    if (needsConnection && !rateLimiter.tryAcquire(nowNanos)) {
      return Optional.empty();
    }
    endpoint.lastRequestAtNanos = nowNanos;
    C call =
        factory.apply(
            new RegistryCall.Start(
                ++lastId, endpoint, nowNanos, view.appliedRevision(), view.tipRevision()));
    calls.put(call.id, call);
    if (call instanceof ListCall listCall) {
      list = listCall;
    } else if (call instanceof WatchCall watch) {
      endpoint.watch = watch;
    } else if (call instanceof HeartbeatCall heartbeat) {
      endpoint.heartbeat = heartbeat;
    }
    return Optional.of(call);
  }

  /** Removes a call that has ended, or whose response is no longer used. */
  void close(RegistryCall call) {
    calls.remove(call.id);
    if (call.endpoint.watch == call) {
      call.endpoint.watch = null;
    }
    if (call.endpoint.heartbeat == call) {
      call.endpoint.heartbeat = null;
    }
    if (list == call) {
      list = null;
    }
  }

  /** Cancels a call: the session receives nothing more for it. */
  void cancel(RegistryCall call) {
    commands.cancel(call.id);
    close(call);
  }
}
