package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.amberpath.lab.VirtualScheduler;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.RegistryView;
import org.amberpath.registry.WatchCommands;
import org.amberpath.registry.WatchEvent;
import org.amberpath.registry.WatchSession;
import org.amberpath.registry.WatchSession.Header;

/**
 * * Several endpoints over one history on a virtual clock, and clients that ask them. A call goes
 * there and back in half a millisecond to three, on every way that an endpoint may have.
 */
final class VirtualRegistry {
  static final String PREFIX = "p/";
  static final String TIP_KEY = PREFIX + "tip";
  static final long NANOS_PER_MILLI = 1_000_000;
  static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final long UNAUTHORISED_RETRY_NANOS = 14 * NANOS_PER_SECOND;

  /** How an endpoint treats what is asked of it. */
  enum EndpointBehavior {
    ANSWERS,
    SILENT,
    REFUSES,
    UNAVAILABLE,
    UNAUTHORISED
  }

  /** One endpoint. */
  final class VirtualEndpoint {
    EndpointBehavior behavior = EndpointBehavior.ANSWERS;
    long lagNanos;
    long slownessNanos;

    /** Since when it has answered well. */
    long healthySinceNanos;

    long callCount;
    private long excusedUntilNanos;
    private final Set<VirtualClient.PendingCall> pendingCalls = new LinkedHashSet<>();
    private final List<Runnable> heldTasks = new ArrayList<>();

    void setBehavior(EndpointBehavior newBehavior) {
      trace.accept(endpoints.indexOf(this) + " becomes " + newBehavior);
      // Who was not let in does not ask again soon.
      excusedUntilNanos =
          newBehavior == EndpointBehavior.UNAUTHORISED
              ? Long.MAX_VALUE / 2
              : behavior == EndpointBehavior.UNAUTHORISED
                  ? scheduler.nowNanos() + UNAUTHORISED_RETRY_NANOS
                  : excusedUntilNanos;
      behavior = newBehavior;
      if (behavior == EndpointBehavior.ANSWERS) {
        healthySinceNanos =
            lagNanos + slownessNanos > 0
                ? Long.MAX_VALUE / 2
                : Math.max(scheduler.nowNanos(), excusedUntilNanos);
        List<Runnable> released = List.copyOf(heldTasks);
        heldTasks.clear();
        released.forEach(Runnable::run);
      } else if (behavior != EndpointBehavior.SILENT) {
        breakConnections();
      }
    }

    void setDelays(long lagNanos, long slownessNanos) {
      trace.accept(
          endpoints.indexOf(this)
              + " lags "
              + lagNanos / NANOS_PER_MILLI
              + " ms, is slower by "
              + slownessNanos / NANOS_PER_MILLI
              + " ms");
      this.lagNanos = lagNanos;
      this.slownessNanos = slownessNanos;
      if (lagNanos + slownessNanos > 0) {
        healthySinceNanos = Long.MAX_VALUE / 2;
      } else if (healthySinceNanos == Long.MAX_VALUE / 2) {
        healthySinceNanos = Math.max(scheduler.nowNanos(), excusedUntilNanos);
      }
    }

    boolean isHealthyFor(long durationNanos) {
      return behavior == EndpointBehavior.ANSWERS
          && healthySinceNanos <= scheduler.nowNanos() - durationNanos;
    }

    /** Breaks all connections; new ones come up. */
    void breakConnections() {
      trace.accept(endpoints.indexOf(this) + " is cut");
      heldTasks.clear();
      for (VirtualClient.PendingCall callId : List.copyOf(pendingCalls)) {
        callId.broken = true;
        callId.fail(RegistryFailure.BROKEN, 0);
      }
    }
  }

  final VirtualScheduler scheduler;
  final List<VirtualEndpoint> endpoints = new ArrayList<>();
  RevisionedStore<RegistryRecord> history = new RevisionedStore<>("c1");
  private final SplittableRandom random;
  private final boolean blocking;
  private final List<VirtualClient> clients = new ArrayList<>();

  /**
   * What went over the wire in all, by the size of the published forms: a key and its value take
   * some 300 bytes.
   */
  long sentItems;

  long responseCount;

  /** What happened, a line each, for who replays a seed. */
  Consumer<String> trace = line -> {};

  VirtualRegistry(VirtualScheduler scheduler, int endpointCount, boolean blocking, long seed) {
    this.scheduler = scheduler;
    this.blocking = blocking;
    random = new SplittableRandom(seed);
    for (int index = 0; index < endpointCount; index++) {
      endpoints.add(new VirtualEndpoint());
      endpoints.get(index).healthySinceNanos = scheduler.nowNanos();
    }
  }

  boolean anyHealthyFor(long durationNanos) {
    return endpoints.stream().anyMatch(endpoint -> endpoint.isHealthyFor(durationNanos));
  }

  void write(Map<String, RegistryRecord> writes) {
    long before = history.revision();
    history.write(writes);
    if (history.revision() > before) {
      clients.forEach(
          client -> client.pendingCalls.values().forEach(VirtualClient.PendingCall::sendChanges));
    }
  }

  /** All that was written since a copy was made is gone; connections break. */
  void restore(RevisionedStore<RegistryRecord> backupStore) {
    history = backupStore;
    trace.accept("restored to " + backupStore.clusterId + " " + backupStore.revision());
    endpoints.forEach(VirtualEndpoint::breakConnections);
  }

  private long drawOneWayNanos() {
    return random.nextLong(NANOS_PER_MILLI / 4, 3 * NANOS_PER_MILLI / 2);
  }

  /** One gateway's recovery and view. */
  final class VirtualClient implements WatchCommands {
    final RegistryView view;
    final WatchSession session;
    private final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();
    private long nextWakeNanos = Long.MAX_VALUE;

    VirtualClient(RegistryView view, int maxKeys, long seed, Consumer<String> log) {
      this.view = view;
      session =
          new WatchSession(
              view, this, endpoints.size(), maxKeys, blocking ? NANOS_PER_SECOND : 0, seed, log);
      clients.add(this);
    }

    void start() {
      session.start(scheduler.nowNanos());
      scheduleTick();
    }

    /** Has the recovery wake when it wants to; a wake that it no longer wants does nothing. */
    private void scheduleTick() {
      long dueNanos = session.nextTickNanos();
      if (dueNanos < nextWakeNanos) {
        nextWakeNanos = dueNanos;
        scheduler.schedule(
            dueNanos,
            () -> {
              if (nextWakeNanos == dueNanos) {
                nextWakeNanos = Long.MAX_VALUE;
                session.tick(scheduler.nowNanos());
                scheduleTick();
              }
            });
      }
    }

    /** A call that has not ended. */
    private final class PendingCall {
      final long callId;
      final VirtualEndpoint endpoint;
      private long nextRevision;
      private long lastArrivalNanos;
      private boolean watching;
      private boolean broken;

      PendingCall(long callId, int endpointIndex) {
        this.callId = callId;
        endpoint = endpoints.get(endpointIndex);
        pendingCalls.put(callId, this);
        endpoint.pendingCalls.add(this);
      }

      /** Runs at the endpoint, if it takes calls now. */
      void atEndpoint(Runnable task) {
        endpoint.callCount++;
        scheduler.schedule(
            scheduler.nowNanos() + drawOneWayNanos(),
            () -> {
              switch (endpoint.behavior) {
                case ANSWERS -> task.run();
                case SILENT ->
                    endpoint.heldTasks.add(
                        () -> scheduler.schedule(scheduler.nowNanos() + drawOneWayNanos(), task));
                case REFUSES -> fail(RegistryFailure.REFUSED, 0);
                case UNAVAILABLE ->
                    fail(
                        random.nextBoolean()
                            ? RegistryFailure.UNAVAILABLE
                            : RegistryFailure.THROTTLED,
                        50 * NANOS_PER_MILLI);
                default -> fail(RegistryFailure.UNAUTHORISED, 0);
              }
            });
      }

      /**
       * Runs at the client, in order, unless the call has ended; while the endpoint is silent it
       * waits.
       */
      void atClient(long extraNanos, Runnable task) {
        lastArrivalNanos =
            Math.max(
                lastArrivalNanos,
                scheduler.nowNanos() + drawOneWayNanos() + endpoint.slownessNanos + extraNanos);
        scheduler.schedule(lastArrivalNanos, () -> deliver(task));
      }

      private void deliver(Runnable task) {
        if (pendingCalls.get(callId) != this || broken) {
          return;
        }
        if (endpoint.behavior == EndpointBehavior.SILENT) {
          endpoint.heldTasks.add(() -> deliver(task));
          return;
        }
        responseCount++;
        task.run();
        scheduleTick();
      }

      void fail(RegistryFailure failure, long retryAfterNanos) {
        scheduler.schedule(
            scheduler.nowNanos() + drawOneWayNanos(),
            () -> {
              if (complete()) {
                trace.accept("call " + callId + ": " + failure);
                session.callFailed(scheduler.nowNanos(), callId, failure, retryAfterNanos);
                scheduleTick();
              }
            });
      }

      boolean complete() {
        endpoint.pendingCalls.remove(this);
        return pendingCalls.remove(callId, this);
      }

      /** Sends what a watch has not been sent yet, now and then in frames that split a revision. */
      void sendChanges() {
        if (!watching) {
          return;
        }
        if (blocking) {
          if (history.revision() > nextRevision - 1) {
            watching = false;
            sendFullState(callId, this, true);
          }
          return;
        }
        List<WatchEvent> changes = new ArrayList<>();
        for (RevisionedStore.Change<RegistryRecord> change :
            history.changesBetween(nextRevision, history.revision())) {
          if (change.key().startsWith(PREFIX)) {
            changes.add(
                new WatchEvent(
                    change.revision(),
                    change.key(),
                    change.versioned() == null ? null : toEntry(change.key(), change.versioned())));
          }
        }
        nextRevision = history.revision() + 1;
        Header header = currentHeader();
        sentItems += changes.size();
        if (changes.size() > 1 && random.nextInt(4) == 0) {
          int splitAt = random.nextInt(1, changes.size());
          List<WatchEvent> first = changes.subList(0, splitAt);
          List<WatchEvent> second = changes.subList(splitAt, changes.size());
          atClient(
              endpoint.lagNanos,
              () -> session.eventsReceived(scheduler.nowNanos(), callId, header, first, true));
          atClient(
              endpoint.lagNanos,
              () -> session.eventsReceived(scheduler.nowNanos(), callId, header, second, false));
        } else if (!changes.isEmpty() || random.nextInt(8) == 0) {
          atClient(
              endpoint.lagNanos,
              () -> session.eventsReceived(scheduler.nowNanos(), callId, header, changes, false));
        }
      }
    }

    private Header currentHeader() {
      return new Header(blocking ? "" : history.clusterId, history.revision());
    }

    private RegistryEntry toEntry(
        String key, RevisionedStore.VersionedValue<RegistryRecord> versioned) {
      return new RegistryEntry(
          key, versioned.value(), versioned.createRevision(), versioned.modRevision());
    }

    private List<RegistryEntry> entriesAfter(
        Map<String, RevisionedStore.VersionedValue<RegistryRecord>> state,
        String afterKey,
        long minModRevision) {
      List<RegistryEntry> found = new ArrayList<>();
      state.forEach(
          (key, versioned) -> {
            if (key.startsWith(PREFIX)
                && key.compareTo(afterKey) > 0
                && versioned.modRevision() >= minModRevision) {
              found.add(toEntry(key, versioned));
            }
          });
      return found;
    }

    private void sendFullState(long callId, PendingCall pendingCall, boolean completes) {
      List<RegistryEntry> found = entriesAfter(history.current(), "", 0);
      Header header = currentHeader();
      sentItems += found.size();
      pendingCall.atClient(
          pendingCall.endpoint.lagNanos,
          () -> {
            if (!completes || pendingCall.complete()) {
              session.pageReceived(scheduler.nowNanos(), callId, header, found, false, -1);
            }
          });
    }

    @Override
    public void list(
        long callId,
        int endpointIndex,
        long revision,
        String afterKey,
        long minModRevision,
        int limit) {
      trace.accept(
          "call "
              + callId
              + ": list at "
              + endpointIndex
              + " revision "
              + revision
              + " since "
              + minModRevision);
      PendingCall continued = pendingCalls.get(callId);
      PendingCall pendingCall =
          continued == null ? new PendingCall(callId, endpointIndex) : continued;
      pendingCall.atEndpoint(
          () -> {
            if (blocking) {
              sendFullState(callId, pendingCall, true);
              return;
            }
            if ((revision != 0 && revision < history.compactedRevision())
                || revision > history.revision()) {
              pendingCall.atClient(
                  0,
                  () -> {
                    if (pendingCall.complete()) {
                      session.compacted(scheduler.nowNanos(), callId);
                    }
                  });
              return;
            }
            Map<String, RevisionedStore.VersionedValue<RegistryRecord>> state =
                history.stateAt(revision == 0 ? history.revision() : revision);
            List<RegistryEntry> found = entriesAfter(state, afterKey, minModRevision);
            long count =
                state.keySet().stream()
                    .filter(key -> key.startsWith(PREFIX) && key.compareTo(afterKey) > 0)
                    .count();
            boolean hasMore = found.size() > limit;
            List<RegistryEntry> page = hasMore ? found.subList(0, limit) : found;
            Header header = currentHeader();
            sentItems += page.size();
            // What a majority has is known to one that lags only when it has caught up.
            pendingCall.atClient(
                revision == 0 ? pendingCall.endpoint.lagNanos : 0,
                () -> {
                  if (hasMore || pendingCall.complete()) {
                    session.pageReceived(
                        scheduler.nowNanos(), callId, header, page, hasMore, count);
                  }
                });
          });
    }

    @Override
    public void watch(long callId, int endpointIndex, long fromRevision) {
      trace.accept("call " + callId + ": watch at " + endpointIndex + " from " + fromRevision);
      PendingCall pendingCall = new PendingCall(callId, endpointIndex);
      pendingCall.atEndpoint(
          () -> {
            if (blocking) {
              pendingCall.nextRevision = fromRevision;
              pendingCall.watching = true;
              pendingCall.sendChanges();
              scheduler.schedule(
                  scheduler.nowNanos() + NANOS_PER_SECOND,
                  () -> {
                    if (pendingCall.watching
                        && pendingCalls.get(callId) == pendingCall
                        && pendingCall.endpoint.behavior == EndpointBehavior.ANSWERS) {
                      pendingCall.watching = false;
                      sendFullState(callId, pendingCall, true);
                    }
                  });
              if (history.revision() < fromRevision - 1 && pendingCall.watching) {
                // An index past what there is: the answer comes at once.
                pendingCall.watching = false;
                sendFullState(callId, pendingCall, true);
              }
            } else if (fromRevision <= history.compactedRevision()) {
              pendingCall.atClient(
                  0,
                  () -> {
                    if (pendingCall.complete()) {
                      session.compacted(scheduler.nowNanos(), callId);
                    }
                  });
            } else {
              Header header = currentHeader();
              pendingCall.atClient(
                  0, () -> session.watchOpened(scheduler.nowNanos(), callId, header));
              pendingCall.nextRevision = fromRevision;
              pendingCall.watching = true;
              pendingCall.sendChanges();
            }
          });
    }

    @Override
    public void heartbeat(long callId, int endpointIndex) {
      trace.accept("call " + callId + ": pulse at " + endpointIndex);
      PendingCall pendingCall = new PendingCall(callId, endpointIndex);
      pendingCall.atEndpoint(
          () -> {
            RevisionedStore.VersionedValue<RegistryRecord> tip = history.current().get(TIP_KEY);
            Header header = blocking ? new Header("", 0) : currentHeader();
            pendingCall.atClient(
                pendingCall.endpoint.lagNanos,
                () -> {
                  if (pendingCall.complete()) {
                    trace.accept(
                        "call "
                            + callId
                            + ": tip "
                            + (tip == null ? 0 : tip.modRevision())
                            + " "
                            + header);
                    session.heartbeatReceived(
                        scheduler.nowNanos(), callId, header, tip == null ? 0 : tip.modRevision());
                  }
                });
          });
    }

    @Override
    public void cancel(long callId) {
      trace.accept("call " + callId + ": dropped");
      PendingCall cancelled = pendingCalls.get(callId);
      if (cancelled != null) {
        cancelled.complete();
      }
    }
  }
}
