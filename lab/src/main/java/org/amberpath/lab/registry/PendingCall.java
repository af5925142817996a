package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.List;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.WatchEvent;
import org.amberpath.registry.WatchSession.Header;

/** A pending call of a virtual client, and the watch stream that the call may have opened. */
final class PendingCall {
  private static final long RETRY_AFTER_NANOS = 50 * Simulation.NANOS_PER_MILLI;
  private static final int SPLIT_ONE_IN = 4;
  private static final int EMPTY_FRAME_ONE_IN = 8;

  private final VirtualRegistry registry;
  private final VirtualScheduler scheduler;
  private final VirtualClient client;
  private final long callId;
  private final VirtualEndpoint endpoint;
  private long nextRevision;
  private long lastArrivalNanos;
  private boolean watching;
  private boolean connectionBroken;

  PendingCall(VirtualRegistry registry, VirtualClient client, long callId, int endpointIndex) {
    this.registry = registry;
    scheduler = registry.scheduler();
    this.client = client;
    this.callId = callId;
    endpoint = registry.endpoints().get(endpointIndex);
    client.addCall(callId, this);
    endpoint.addCall(this);
  }

  long callId() {
    return callId;
  }

  VirtualEndpoint endpoint() {
    return endpoint;
  }

  /**
   * Runs a task at the endpoint after the one-way delay if the endpoint answers at that time; holds
   * the task while the endpoint is silent, and otherwise fails the call.
   */
  void atEndpoint(Runnable task) {
    endpoint.recordCall();
    scheduler.scheduleAfter(
        registry.randomOneWayDelayNanos(),
        () -> {
          switch (endpoint.behavior()) {
            case ANSWERS -> task.run();
            case SILENT ->
                endpoint.hold(
                    () -> scheduler.scheduleAfter(registry.randomOneWayDelayNanos(), task));
            case REFUSES -> fail(RegistryFailure.REFUSED, 0);
            case UNAVAILABLE ->
                fail(
                    registry.random().nextBoolean()
                        ? RegistryFailure.UNAVAILABLE
                        : RegistryFailure.THROTTLED,
                    RETRY_AFTER_NANOS);
            default -> fail(RegistryFailure.UNAUTHORISED, 0);
          }
        });
  }

  /**
   * Runs a task at the client after the one-way delay, the endpoint's slowness and an extra delay.
   * Tasks of one call run in the order in which they were sent; a task is dropped if the call has
   * ended before its arrival.
   */
  void atClient(long extraNanos, Runnable task) {
    lastArrivalNanos =
        Math.max(
            lastArrivalNanos,
            scheduler.nowNanos()
                + registry.randomOneWayDelayNanos()
                + endpoint.slownessNanos()
                + extraNanos);
    scheduler.schedule(lastArrivalNanos, () -> deliver(task));
  }

  private void deliver(Runnable task) {
    if (!client.isOpen(this) || connectionBroken) {
      return;
    }
    if (endpoint.behavior() == EndpointBehavior.SILENT) {
      endpoint.hold(() -> deliver(task));
      return;
    }
    registry.recordResponseSent();
    task.run();
    client.scheduleTick();
  }

  /** Breaks the connection: the call delivers nothing more and fails as BROKEN. */
  void breakConnection() {
    connectionBroken = true;
    fail(RegistryFailure.BROKEN, 0);
  }

  private void fail(RegistryFailure failure, long retryAfterNanos) {
    scheduler.scheduleAfter(
        registry.randomOneWayDelayNanos(),
        () -> {
          if (complete()) {
            registry.trace("call " + callId + ": " + failure);
            client.session().callFailed(scheduler.nowNanos(), callId, failure, retryAfterNanos);
            client.scheduleTick();
          }
        });
  }

  /** Ends the call; returns false if the call had already ended. */
  boolean complete() {
    endpoint.removeCall(this);
    return client.removeCall(callId, this);
  }

  /** Ends the call with the answer that the requested revision is compacted. */
  void answerCompacted() {
    atClient(
        0,
        () -> {
          if (complete()) {
            client.session().compacted(scheduler.nowNanos(), callId);
          }
        });
  }

  /** Starts watching at a revision, and sends the changes that already exist from it on. */
  void startWatch(long fromRevision) {
    nextRevision = fromRevision;
    watching = true;
    sendChanges();
  }

  /** Ends a blocking read that still waits by sending all current entries. */
  void endBlockingRead() {
    if (watching) {
      watching = false;
      client.answerWithAllEntries(this);
    }
  }

  /**
   * Sends the changes that the watch has not sent yet. Some batches are split into two frames,
   * which may divide the changes of one revision, and empty frames are sent at random.
   */
  void sendChanges() {
    if (!watching) {
      return;
    }
    if (registry.isBlocking()) {
      if (registry.history().revision() > nextRevision - 1) {
        endBlockingRead();
      }
      return;
    }
    List<WatchEvent> changes = changesOfPrefix();
    nextRevision = registry.history().revision() + 1;
    Header header = registry.header();
    registry.recordEntriesSent(changes.size());
    if (changes.size() > 1 && registry.random().nextInt(SPLIT_ONE_IN) == 0) {
      int splitAt = registry.random().nextInt(1, changes.size());
      sendFrame(header, changes.subList(0, splitAt), true);
      sendFrame(header, changes.subList(splitAt, changes.size()), false);
    } else if (!changes.isEmpty() || registry.random().nextInt(EMPTY_FRAME_ONE_IN) == 0) {
      sendFrame(header, changes, false);
    }
  }

  private void sendFrame(Header header, List<WatchEvent> changes, boolean hasMore) {
    atClient(
        endpoint.lagNanos(),
        () ->
            client
                .session()
                .eventsReceived(scheduler.nowNanos(), callId, header, changes, hasMore));
  }

  private List<WatchEvent> changesOfPrefix() {
    List<WatchEvent> changes = new ArrayList<>();
    registry
        .history()
        .changesBetween(nextRevision, registry.history().revision())
        .forEach(
            change -> {
              if (change.key().startsWith(VirtualRegistry.PREFIX)) {
                changes.add(
                    new WatchEvent(
                        change.revision(),
                        change.key(),
                        change.versioned() == null
                            ? null
                            : VirtualRegistry.toEntry(change.key(), change.versioned())));
              }
            });
    return changes;
  }
}
