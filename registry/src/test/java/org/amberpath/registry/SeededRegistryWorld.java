package org.amberpath.registry;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.amberpath.registry.WatchSession.Header;

/**
 * Runs a watch session against seeded random endpoints, failures, writes, compactions, restored
 * registries and restarts, without I/O or a real clock. {@link RecordedOutputs} records each
 * command, each log line, everything that is published, and the session's state after each step.
 */
final class SeededRegistryWorld {
  /** Number of endpoints, kind of watches, limits, and how often the gateway restarts. */
  enum Setting {
    /** One endpoint, at most 25 keys. */
    SINGLE(1, 25, 30_000),
    /** Three endpoints, streaming watches. */
    THREE(3, 120, 30_000),
    /** Nine endpoints, purges that are retained for two seconds only. */
    NINE(9, 120, 2_000),
    /** Three endpoints without cluster ids, whose watches are blocking reads. */
    BLOCKING(3, 120, 30_000),
    /** Three endpoints, a restart every few seconds, mostly from a snapshot. */
    RESTARTS(3, 120, 30_000);

    final int endpoints;
    private final int maxKeys;
    private final long retentionMillis;

    Setting(int endpoints, int maxKeys, long retentionMillis) {
      this.endpoints = endpoints;
      this.maxKeys = maxKeys;
      this.retentionMillis = retentionMillis;
    }
  }

  private record ScheduledEvent(long atNanos, long order, Runnable event) {}

  private static final long MS = 1_000_000;
  private static final long START_NANOS = 1_700_000_000_000L * MS;
  private static final long DURATION_NANOS = 300_000 * MS;
  static final long BLOCKING_TIME_NANOS = 3_000 * MS;

  /** The recorded outputs. */
  final RecordedOutputs outputs = new RecordedOutputs();

  final Setting setting;
  final SplittableRandom random;
  private final PriorityQueue<ScheduledEvent> scheduled =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledEvent::atNanos)
              .thenComparingLong(ScheduledEvent::order));
  private final SeededRegistryEndpoints endpoints;
  final SeededRegistryStore store;
  WatchSession session;
  private RegistryView view;
  private Snapshot snapshot;
  long nowNanos = START_NANOS;
  private long scheduledCount;

  SeededRegistryWorld(Setting setting, long seed) {
    this.setting = setting;
    random = new SplittableRandom(seed * 31 + setting.endpoints + setting.retentionMillis);
    store = new SeededRegistryStore(random, 40, START_NANOS / MS);
    endpoints = new SeededRegistryEndpoints(this, outputs);
  }

  /** Runs the simulation to its end and returns the digest of all outputs as hexadecimal digits. */
  String run() {
    for (int write = 0; write < 30; write++) {
      store.write(START_NANOS / MS);
    }
    store.takeBackup();
    restart();
    schedule(0, this::changeSomething);
    while (nowNanos < START_NANOS + DURATION_NANOS) {
      step();
      recordState();
    }
    return outputs.digest();
  }

  private void step() {
    long dueNanos = Math.max(session.nextTickNanos(), nowNanos + MS);
    if (!scheduled.isEmpty() && scheduled.peek().atNanos <= dueNanos) {
      ScheduledEvent next = scheduled.poll();
      nowNanos = Math.max(nowNanos, next.atNanos);
      next.event.run();
    } else {
      // A timer fires up to a millisecond late, and occasionally up to 2.5 seconds late.
      nowNanos = dueNanos + (chance(0.003) ? random.nextLong(2_500 * MS) : random.nextLong(MS));
      session.tick(nowNanos);
    }
  }

  void schedule(long delayNanos, Runnable event) {
    scheduled.add(new ScheduledEvent(nowNanos + delayNanos, ++scheduledCount, event));
  }

  // ---- Random changes.

  private void changeSomething() {
    schedule(MS + random.nextLong(80 * MS), this::changeSomething);
    if (chance(0.25)) {
      write(1);
    }
    if (chance(0.01)) {
      write(30);
    }
    if (chance(0.04)) {
      endpoints.changeBehaviour(random.nextInt(setting.endpoints));
    }
    if (chance(0.003)) {
      endpoints.outage();
    }
    if (chance(0.02)) {
      store.compact();
    }
    if (chance(0.01)) {
      store.takeBackup();
    }
    changeRarely();
  }

  private void changeRarely() {
    if (chance(0.003)) {
      outputs.count("event restore");
      store.restore();
      endpoints.breakWatches(0.7);
    }
    if (chance(0.001)) {
      outputs.count("event other cluster");
      store.replaceCluster();
      endpoints.breakWatches(0.7);
    }
    if (chance(0.003)) {
      outputs.count("event reload");
      session.settingsReloaded(nowNanos);
    }
    if (chance(0.01)) {
      passInStrayAnswer();
    }
    if (view.hasData() && session.phase() == WatchSession.Phase.CURRENT && chance(0.02)) {
      snapshot =
          new Snapshot(
              SeededRegistryStore.PREFIX,
              view.clusterId(),
              view.appliedRevision(),
              view.confirmedAtNanos(),
              List.copyOf(view.entries()));
    }
    if (chance(setting == Setting.RESTARTS ? 0.01 : 0.001)) {
      restart();
    }
  }

  private void write(int transactions) {
    for (int write = 0; write < transactions; write++) {
      store.write(nowNanos / MS);
    }
    endpoints.deliverWrites();
  }

  /** Passes in a response to a call that has ended or is of another kind. */
  private void passInStrayAnswer() {
    long id = Math.max(1, scheduledCount % 200);
    Header header = new Header(store.cluster(), store.revision());
    outputs.count("event stray answer");
    switch (random.nextInt(5)) {
      case 0 -> session.heartbeatReceived(nowNanos, id, header, store.tipRevision());
      case 1 -> session.pageReceived(nowNanos, id, header, List.of(), false, 0);
      case 2 -> session.watchOpened(nowNanos, id, header);
      case 3 -> session.eventsReceived(nowNanos, id, header, List.of(), false);
      default -> session.callFailed(nowNanos, id, RegistryFailure.BROKEN, 0);
    }
  }

  private void restart() {
    endpoints.dropCalls();
    long retentionNanos = setting.retentionMillis * MS;
    view =
        new RegistryView(
            outputs,
            SeededRegistryStore.TIP_KEY,
            setting.maxKeys,
            retentionNanos,
            outputs::recordViewLogLine);
    session =
        new WatchSession(
            view,
            endpoints,
            new WatchSessionConfig(
                setting.endpoints,
                setting.maxKeys,
                setting == Setting.BLOCKING ? BLOCKING_TIME_NANOS : 0,
                random.nextLong()),
            outputs::recordSessionLogLine);
    session.tick(nowNanos);
    if (snapshot != null && chance(0.8)) {
      outputs.count("event restart from snapshot");
      view.restoreSnapshot(
          nowNanos,
          new RegistryListing(
              snapshot.entries(),
              snapshot.cluster(),
              snapshot.revision(),
              snapshot.confirmedAtNanos()));
    } else {
      outputs.count("event restart");
    }
    WatchSession startedSession = session;
    schedule(
        random.nextLong(20 * MS),
        () -> {
          if (session == startedSession) {
            startedSession.start(nowNanos);
          }
        });
  }

  private void recordState() {
    String phase = phase();
    outputs.count("phase " + phase);
    outputs.record(
        "state",
        nowNanos - START_NANOS,
        phase,
        session.watchCount(),
        session.openCallCount(),
        session.nextTickNanos() - START_NANOS);
    outputs.record(
        "view",
        view.hasData(),
        view.clusterId(),
        view.appliedRevision(),
        view.tipRevision(),
        view.keyCount());
    outputs.record("proven", view.confirmedAtNanos());
  }

  private String phase() {
    return switch (session.phase()) {
      case EMPTY -> "EMPTY";
      case CURRENT -> "CURRENT";
      case BEHIND -> "BEHIND";
      case CUT_OFF -> "CUT_OFF";
    };
  }

  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }
}
