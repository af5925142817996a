package org.amberpath.registry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import org.amberpath.registry.WatchSession.Header;

/**
 * The endpoints of a {@link SeededRegistryWorld}. Each one responds, fails or stays silent by its
 * behaviour, which changes at random. Commands are recorded when they are issued.
 */
final class SeededRegistryEndpoints implements WatchCommands {
  private enum Behaviour {
    HEALTHY,
    SLOW,
    SILENT,
    WATCH_SILENT,
    FAILING,
    FOREIGN,
    OUTDATED,
    FLOODING
  }

  /** An open call, on the registry's side. */
  private static final class OpenCall {
    private final long id;
    private final int endpoint;
    private final long fromRevision;
    private final List<RegistryEntry> listed = new ArrayList<>();
    private long listedCount;
    private int historyIndex = -1;

    OpenCall(long id, int endpoint, long fromRevision) {
      this.id = id;
      this.endpoint = endpoint;
      this.fromRevision = fromRevision;
    }
  }

  private static final long MS = 1_000_000;

  private final SeededRegistryWorld world;
  private final RecordedOutputs outputs;
  private final Behaviour[] behaviours;
  private final RegistryFailure[] failures;
  private final TreeMap<Long, OpenCall> calls = new TreeMap<>();

  SeededRegistryEndpoints(SeededRegistryWorld world, RecordedOutputs outputs) {
    this.world = world;
    this.outputs = outputs;
    behaviours = new Behaviour[world.setting.endpoints];
    failures = new RegistryFailure[world.setting.endpoints];
    Arrays.fill(behaviours, Behaviour.HEALTHY);
    Arrays.fill(failures, RegistryFailure.REFUSED);
  }

  /** Drops all calls when the gateway restarts. */
  void dropCalls() {
    calls.clear();
  }

  /** Schedules the delivery of a write to the watches and blocking reads. */
  void deliverWrites() {
    for (OpenCall call : calls.values()) {
      if (call.historyIndex >= 0) {
        world.schedule(latencyNanos(call.endpoint), () -> deliverChanges(call));
      } else if (isBlockingRead(call)) {
        world.schedule(latencyNanos(call.endpoint), () -> answerBlockingRead(call, false));
      }
    }
  }

  void changeBehaviour(int endpoint) {
    Behaviour[] all = Behaviour.values();
    behaviours[endpoint] =
        world.chance(0.55) ? Behaviour.HEALTHY : all[world.random.nextInt(all.length)];
    RegistryFailure[] allFailures = RegistryFailure.values();
    failures[endpoint] = allFailures[world.random.nextInt(allFailures.length - 1)];
    outputs.count("behaviour " + behaviours[endpoint]);
    for (OpenCall call : calls.values()) {
      if (call.endpoint == endpoint && behaviours[endpoint] == Behaviour.HEALTHY) {
        world.schedule(latencyNanos(endpoint), () -> deliverChanges(call));
      }
    }
  }

  void outage() {
    outputs.count("event outage");
    boolean isSilent = world.random.nextBoolean();
    for (int endpoint = 0; endpoint < world.setting.endpoints; endpoint++) {
      behaviours[endpoint] = isSilent ? Behaviour.SILENT : Behaviour.FAILING;
      failures[endpoint] = RegistryFailure.REFUSED;
    }
    breakWatches(isSilent ? 0 : 1);
    world.schedule(
        300 * MS + world.random.nextLong(4_000 * MS),
        () -> {
          for (int endpoint = 0; endpoint < world.setting.endpoints; endpoint++) {
            if (world.chance(0.9)) {
              behaviours[endpoint] = Behaviour.HEALTHY;
            }
          }
        });
  }

  void breakWatches(double share) {
    for (OpenCall call : List.copyOf(calls.values())) {
      if (call.historyIndex >= 0 && world.chance(share)) {
        calls.remove(call.id);
        fail(call, RegistryFailure.BROKEN, 0);
      } else if (call.historyIndex >= 0) {
        call.historyIndex = Math.min(call.historyIndex, world.store.history().size());
      }
    }
  }

  private long latencyNanos(int endpoint) {
    long fastNanos = (1 + 4L * endpoint) * MS + world.random.nextLong(8 * MS);
    return behaviours[endpoint] == Behaviour.SLOW
        ? 30 * MS + world.random.nextLong(200 * MS)
        : fastNanos;
  }

  private boolean isBlockingRead(OpenCall call) {
    return world.setting == SeededRegistryWorld.Setting.BLOCKING && call.fromRevision > 0;
  }

  private Header header(int endpoint) {
    if (behaviours[endpoint] == Behaviour.FOREIGN) {
      return new Header("foreign", 900);
    }
    String cluster =
        world.setting == SeededRegistryWorld.Setting.BLOCKING ? "" : world.store.cluster();
    long revision =
        behaviours[endpoint] == Behaviour.OUTDATED && world.chance(0.4)
            ? Math.max(1, world.store.revision() - 20)
            : world.store.revision();
    return new Header(cluster, revision);
  }

  /**
   * Fails the call if the endpoint's behaviour says so. Returns whether the call was failed or
   * stays unanswered.
   */
  private boolean failsOrIgnores(OpenCall call) {
    if (behaviours[call.endpoint] == Behaviour.SILENT) {
      return true;
    }
    if (behaviours[call.endpoint] == Behaviour.FAILING) {
      RegistryFailure failure = failures[call.endpoint];
      boolean asksToWait =
          failure == RegistryFailure.THROTTLED
              || (failure == RegistryFailure.UNAVAILABLE && world.chance(0.3));
      calls.remove(call.id);
      fail(call, failure, asksToWait ? world.random.nextLong(800 * MS) : 0);
      return true;
    }
    return false;
  }

  private void fail(OpenCall call, RegistryFailure failure, long retryAfterNanos) {
    outputs.count("failure " + failure);
    world.session.callFailed(world.nowNanos, call.id, failure, retryAfterNanos);
  }

  private OpenCall openCall(long id, int endpoint, long fromRevision) {
    OpenCall call = new OpenCall(id, endpoint, fromRevision);
    calls.put(id, call);
    return call;
  }

  private boolean isOpen(OpenCall call) {
    return calls.get(call.id) == call;
  }

  @Override
  public void heartbeat(long callId, int endpoint) {
    outputs.record("pulse", callId, endpoint);
    OpenCall call = openCall(callId, endpoint, 0);
    world.schedule(latencyNanos(endpoint), () -> answerHeartbeat(call));
  }

  private void answerHeartbeat(OpenCall call) {
    if (isOpen(call) && !failsOrIgnores(call)) {
      calls.remove(call.id);
      Header header = header(call.endpoint);
      long tip = behaviours[call.endpoint] == Behaviour.FOREIGN ? 899 : world.store.tipRevision();
      world.session.heartbeatReceived(
          world.nowNanos, call.id, header, Math.min(tip, header.revision()));
    }
  }

  @Override
  public void list(
      long callId, int endpoint, long revision, String afterKey, long sinceRevision, int pageSize) {
    outputs.record("list", callId, endpoint, revision, afterKey, sinceRevision, pageSize);
    outputs.count(sinceRevision == 0 ? "list of all keys" : "list of what was written since");
    outputs.count(revision == 0 ? "first page" : "next page");
    outputs.count(pageSize > 1000 ? "page of larger size" : "page of first size");
    OpenCall call = revision == 0 ? openCall(callId, endpoint, 0) : calls.get(callId);
    world.schedule(
        latencyNanos(endpoint),
        () -> answerList(call, revision, afterKey, sinceRevision, pageSize));
  }

  private void answerList(
      OpenCall call, long revision, String afterKey, long sinceRevision, int pageSize) {
    if (!isOpen(call) || failsOrIgnores(call)) {
      return;
    }
    if (behaviours[call.endpoint] == Behaviour.FLOODING) {
      answerEndlessPage(call, afterKey);
      return;
    }
    if (revision > 0 && world.store.isCompacted(revision)) {
      outputs.count("event list compacted");
      calls.remove(call.id);
      world.session.compacted(world.nowNanos, call.id);
      return;
    }
    if (revision == 0) {
      boolean isForeign = behaviours[call.endpoint] == Behaviour.FOREIGN;
      call.listed.addAll(
          isForeign
              ? world.store.foreignEntries()
              : world.store.entriesWrittenSince(effectiveSinceRevision(sinceRevision)));
      call.listedCount = isForeign ? call.listed.size() : world.store.count();
    }
    List<RegistryEntry> remaining =
        call.listed.stream().filter(entry -> entry.key().compareTo(afterKey) > 0).toList();
    int size = Math.min(pageSize, world.chance(0.5) ? 1000 : 1 + world.random.nextInt(30));
    boolean hasMore = remaining.size() > size;
    List<RegistryEntry> page = remaining.subList(0, Math.min(size, remaining.size()));
    if (!hasMore) {
      calls.remove(call.id);
    }
    long count = world.setting == SeededRegistryWorld.Setting.BLOCKING ? -1 : call.listedCount;
    world.session.pageReceived(
        world.nowNanos, call.id, header(call.endpoint), page, hasMore, count);
  }

  private long effectiveSinceRevision(long sinceRevision) {
    return world.setting == SeededRegistryWorld.Setting.BLOCKING ? 0 : sinceRevision;
  }

  /** Returns a page of an endless list. */
  private void answerEndlessPage(OpenCall call, String afterKey) {
    int first = afterKey.startsWith("p/x") ? Integer.parseInt(afterKey.substring(3)) + 1 : 0;
    List<RegistryEntry> page = new ArrayList<>();
    for (int number = first; number < first + 400; number++) {
      String key = String.format("p/x%06d", number);
      page.add(new RegistryEntry(key, new RegistryRecord.Other(), 1, 1));
    }
    outputs.count("event flood");
    world.session.pageReceived(
        world.nowNanos, call.id, header(call.endpoint), page, true, 1_000_000);
  }

  @Override
  public void watch(long callId, int endpoint, long fromRevision) {
    outputs.record("watch", callId, endpoint, fromRevision);
    OpenCall call = openCall(callId, endpoint, Math.max(1, fromRevision));
    if (world.setting == SeededRegistryWorld.Setting.BLOCKING) {
      world.schedule(latencyNanos(endpoint), () -> answerBlockingRead(call, world.chance(0.05)));
      world.schedule(SeededRegistryWorld.BLOCKING_TIME_NANOS, () -> answerBlockingRead(call, true));
    } else {
      world.schedule(latencyNanos(endpoint), () -> openWatch(call));
    }
  }

  private void openWatch(OpenCall call) {
    if (!isOpen(call) || failsOrIgnores(call)) {
      return;
    }
    if (world.store.isCompacted(call.fromRevision)) {
      outputs.count("event watch compacted");
      calls.remove(call.id);
      world.session.compacted(world.nowNanos, call.id);
      return;
    }
    call.historyIndex = world.store.historyIndex(call.fromRevision);
    if (world.chance(0.02)) {
      world.session.eventsReceived(
          world.nowNanos, call.id, header(call.endpoint), List.of(), false);
    }
    world.session.watchOpened(world.nowNanos, call.id, header(call.endpoint));
    world.schedule(latencyNanos(call.endpoint), () -> deliverChanges(call));
  }

  private void deliverChanges(OpenCall call) {
    Behaviour behaviour = behaviours[call.endpoint];
    boolean isSilent = behaviour == Behaviour.SILENT || behaviour == Behaviour.WATCH_SILENT;
    if (!isOpen(call) || call.historyIndex < 0 || isSilent || failsOrIgnores(call)) {
      return;
    }
    List<WatchEvent> history = world.store.history();
    Header header = header(call.endpoint);
    if (behaviour == Behaviour.FLOODING) {
      List<WatchEvent> flood = history.subList(Math.max(0, history.size() - 50), history.size());
      world.session.eventsReceived(world.nowNanos, call.id, header, List.copyOf(flood), true);
      world.schedule(5 * MS, () -> deliverChanges(call));
      return;
    }
    int fromIndex = call.historyIndex;
    if (fromIndex >= history.size()) {
      if (world.chance(0.2)) {
        outputs.count("event progress");
        world.session.eventsReceived(world.nowNanos, call.id, header, List.of(), false);
      }
      return;
    }
    int toIndex =
        world.chance(0.3)
            ? fromIndex + 1 + world.random.nextInt(history.size() - fromIndex)
            : history.size();
    call.historyIndex = toIndex;
    boolean partial =
        toIndex < history.size()
            && history.get(toIndex - 1).revision() == history.get(toIndex).revision();
    outputs.count(partial ? "event partial frame" : "event frame");
    world.session.eventsReceived(
        world.nowNanos, call.id, header, List.copyOf(history.subList(fromIndex, toIndex)), partial);
    world.schedule(latencyNanos(call.endpoint), () -> deliverChanges(call));
  }

  private void answerBlockingRead(OpenCall call, boolean evenIfUnchanged) {
    if (!isOpen(call) || !isBlockingRead(call) || failsOrIgnores(call)) {
      return;
    }
    if (behaviours[call.endpoint] == Behaviour.WATCH_SILENT
        || (!evenIfUnchanged && world.store.revision() < call.fromRevision)) {
      return;
    }
    calls.remove(call.id);
    outputs.count("event blocking read");
    boolean isForeign = behaviours[call.endpoint] == Behaviour.FOREIGN;
    List<RegistryEntry> all =
        isForeign ? world.store.foreignEntries() : world.store.entriesWrittenSince(0);
    world.session.pageReceived(world.nowNanos, call.id, header(call.endpoint), all, false, -1);
  }

  @Override
  public void cancel(long callId) {
    outputs.record("drop", callId);
    calls.remove(callId);
  }
}
