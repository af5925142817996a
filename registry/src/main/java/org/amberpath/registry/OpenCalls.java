package org.amberpath.registry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The calls of a session that have not ended, in the order in which they were sent. Bounds: one
 * list for all endpoints; a watch and a heartbeat an endpoint; new connections as {@link
 * RequestRateLimiter} allows.
 */
final class OpenCalls {
  /** Which connection a call takes. */
  enum Connection {
    /** One of those that are open to an endpoint in contact; otherwise a new one. */
    SHARED,
    /** Always a new one. */
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

  /** The call with this number, if it is open and of that kind. */
  <C extends RegistryCall> Optional<C> find(long id, Class<C> kind) {
    RegistryCall call = calls.get(id);
    return kind.isInstance(call) ? Optional.of(kind.cast(call)) : Optional.empty();
  }

  /** The list that is being read. */
  Optional<ListCall> list() {
    return Optional.ofNullable(list);
  }

  /** The earliest time at which a call is given up; no later than the given one. */
  long earliestDeadline(long latestNanos) {
    long earliest = latestNanos;
    for (RegistryCall call : calls.values()) {
      earliest = Math.min(earliest, call.deadlineNanos);
    }
    return earliest;
  }

  /** Makes a call to be sent; none while the budget of new connections is used up. */
  <C extends RegistryCall> Optional<C> open(
      long nowNanos,
      RegistryEndpoint endpoint,
      Connection connection,
      Function<RegistryCall.Start, C> made) {
    boolean connects = connection == Connection.DEDICATED || !endpoint.isInContact(nowNanos);
    if (connects && !rateLimiter.tryAcquire(nowNanos)) {
      return Optional.empty();
    }
    endpoint.triedAtNanos = nowNanos;
    C call =
        made.apply(
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

  /** A call has ended, or its answers are of no use any more. */
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

  /** Gives a call up: nothing more may be heard of it. */
  void cancel(RegistryCall call) {
    commands.cancel(call.id);
    close(call);
  }
}
