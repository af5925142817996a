package org.amberpath.lab.registry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.RegistryView;
import org.amberpath.registry.WatchCommands;
import org.amberpath.registry.WatchSession;
import org.amberpath.registry.WatchSession.Header;
import org.amberpath.registry.WatchSessionConfig;

/** One gateway's {@link WatchSession} and {@link RegistryView}, connected to a virtual registry. */
final class VirtualClient implements WatchCommands {
  private static final long BLOCKING_READ_NANOS = Simulation.NANOS_PER_SECOND;

  private final VirtualRegistry registry;
  private final VirtualScheduler scheduler;
  private final RegistryView view;
  private final WatchSession session;
  private final Map<Long, PendingCall> pendingCalls = new LinkedHashMap<>();
  private long scheduledTickNanos = Long.MAX_VALUE;

  VirtualClient(
      VirtualRegistry registry, RegistryView view, int maxKeys, long seed, Consumer<String> log) {
    this.registry = registry;
    scheduler = registry.scheduler();
    this.view = view;
    session =
        new WatchSession(
            view,
            this,
            new WatchSessionConfig(
                registry.endpoints().size(),
                maxKeys,
                registry.isBlocking() ? BLOCKING_READ_NANOS : 0,
                seed),
            log);
    registry.addClient(this);
  }

  RegistryView view() {
    return view;
  }

  WatchSession session() {
    return session;
  }

  void start() {
    session.start(scheduler.nowNanos());
    scheduleTick();
  }

  void addCall(long callId, PendingCall call) {
    pendingCalls.put(callId, call);
  }

  boolean removeCall(long callId, PendingCall call) {
    return pendingCalls.remove(callId, call);
  }

  boolean isOpen(PendingCall call) {
    return pendingCalls.get(call.callId()) == call;
  }

  void registryChanged() {
    pendingCalls.values().forEach(PendingCall::sendChanges);
  }

  /**
   * Schedules the session's next tick. A scheduled tick that an earlier one has superseded does
   * nothing.
   */
  void scheduleTick() {
    long dueNanos = session.nextTickNanos();
    if (dueNanos < scheduledTickNanos) {
      scheduledTickNanos = dueNanos;
      scheduler.schedule(
          dueNanos,
          () -> {
            if (scheduledTickNanos == dueNanos) {
              scheduledTickNanos = Long.MAX_VALUE;
              session.tick(scheduler.nowNanos());
              scheduleTick();
            }
          });
    }
  }

  /** Completes a call with all current entries, delayed by the lag of its endpoint. */
  void answerWithAllEntries(PendingCall call) {
    List<RegistryEntry> entries = registry.entries(registry.history().current(), "", 0);
    Header header = registry.header();
    registry.recordEntriesSent(entries.size());
    call.atClient(
        call.endpoint().lagNanos(),
        () -> {
          if (call.complete()) {
            session.pageReceived(scheduler.nowNanos(), call.callId(), header, entries, false, -1);
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
    registry.trace(
        "call "
            + callId
            + ": list at endpoint "
            + endpointIndex
            + ", revision "
            + revision
            + ", minimum mod revision "
            + minModRevision);
    PendingCall existingCall = pendingCalls.get(callId);
    PendingCall call =
        existingCall == null
            ? new PendingCall(registry, this, callId, endpointIndex)
            : existingCall;
    call.atEndpoint(
        () -> {
          RevisionedStore<RegistryRecord> history = registry.history();
          if (registry.isBlocking()) {
            answerWithAllEntries(call);
          } else if ((revision != 0 && revision < history.compactedRevision())
              || revision > history.revision()) {
            call.answerCompacted();
          } else {
            answerPage(call, revision, afterKey, minModRevision, limit);
          }
        });
  }

  private void answerPage(
      PendingCall call, long revision, String afterKey, long minModRevision, int limit) {
    RevisionedStore<RegistryRecord> history = registry.history();
    Map<String, RevisionedStore.VersionedValue<RegistryRecord>> state =
        history.stateAt(revision == 0 ? history.revision() : revision);
    List<RegistryEntry> matchingEntries = registry.entries(state, afterKey, minModRevision);
    long count =
        state.keySet().stream()
            .filter(key -> key.startsWith(VirtualRegistry.PREFIX) && key.compareTo(afterKey) > 0)
            .count();
    boolean hasMore = matchingEntries.size() > limit;
    List<RegistryEntry> page = hasMore ? matchingEntries.subList(0, limit) : matchingEntries;
    Header header = registry.header();
    registry.recordEntriesSent(page.size());
    // Revision 0 reads the latest state that a majority holds: a lagging endpoint answers it only
    // once it has caught up. A read at a given revision is answered without that delay.
    call.atClient(
        revision == 0 ? call.endpoint().lagNanos() : 0,
        () -> {
          if (hasMore || call.complete()) {
            session.pageReceived(scheduler.nowNanos(), call.callId(), header, page, hasMore, count);
          }
        });
  }

  @Override
  public void watch(long callId, int endpointIndex, long fromRevision) {
    registry.trace(
        "call "
            + callId
            + ": watch at endpoint "
            + endpointIndex
            + " from revision "
            + fromRevision);
    PendingCall call = new PendingCall(registry, this, callId, endpointIndex);
    call.atEndpoint(
        () -> {
          if (registry.isBlocking()) {
            readBlocking(call, fromRevision);
          } else if (fromRevision <= registry.history().compactedRevision()) {
            call.answerCompacted();
          } else {
            Header header = registry.header();
            call.atClient(0, () -> session.watchOpened(scheduler.nowNanos(), callId, header));
            call.startWatch(fromRevision);
          }
        });
  }

  private void readBlocking(PendingCall call, long fromRevision) {
    call.startWatch(fromRevision);
    scheduler.scheduleAfter(
        BLOCKING_READ_NANOS,
        () -> {
          if (isOpen(call) && call.endpoint().behavior() == EndpointBehavior.ANSWERS) {
            call.endBlockingRead();
          }
        });
    if (registry.history().revision() < fromRevision - 1) {
      // The index is beyond the last revision: the blocking read returns immediately.
      call.endBlockingRead();
    }
  }

  @Override
  public void heartbeat(long callId, int endpointIndex) {
    registry.trace("call " + callId + ": heartbeat at endpoint " + endpointIndex);
    PendingCall call = new PendingCall(registry, this, callId, endpointIndex);
    call.atEndpoint(
        () -> {
          RevisionedStore.VersionedValue<RegistryRecord> tip =
              registry.history().current().get(VirtualRegistry.TIP_KEY);
          long tipRevision = tip == null ? 0 : tip.modRevision();
          Header header = registry.isBlocking() ? new Header("", 0) : registry.header();
          call.atClient(
              call.endpoint().lagNanos(),
              () -> {
                if (call.complete()) {
                  registry.trace("call " + callId + ": tip " + tipRevision + " " + header);
                  session.heartbeatReceived(scheduler.nowNanos(), callId, header, tipRevision);
                }
              });
        });
  }

  @Override
  public void cancel(long callId) {
    registry.trace("call " + callId + ": cancelled");
    PendingCall cancelled = pendingCalls.get(callId);
    if (cancelled != null) {
      cancelled.complete();
    }
  }
}
