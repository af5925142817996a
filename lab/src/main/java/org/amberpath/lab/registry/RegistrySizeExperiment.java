package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.VirtualScheduler;
import org.amberpath.lab.registry.VirtualRegistry.EndpointBehavior;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.RegistryView;
import org.amberpath.registry.WatchSession;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;

/**
 * The registry's pure half at size on the virtual clock: time to apply a change, cost a client, a
 * herd after an outage.
 */
public final class RegistrySizeExperiment {
  private static final long NANOS_PER_MILLI = VirtualRegistry.NANOS_PER_MILLI;
  private static final long NANOS_PER_SECOND = VirtualRegistry.NANOS_PER_SECOND;
  private static final long EPOCH_NANOS = 1_700_000_000L * NANOS_PER_SECOND;
  private static final int ENDPOINT_COUNT = 3;
  private static final int BYTES_PER_KEY = 300;
  private static final int HERD_CLIENTS = 500;
  private static final long CHANGE_PERIOD_NANOS = 10 * NANOS_PER_SECOND;
  private static final long OUTAGE_NANOS = 5 * NANOS_PER_SECOND;
  private static final long BIN_NANOS = 100 * NANOS_PER_MILLI;
  private static final long MAX_DELAY_MICROS = 60_000_000;

  private RegistrySizeExperiment() {}

  /** Who is told nothing but when. */
  private static final class Listener implements EndpointListener {
    private final Runnable listCompleted;

    Listener(Runnable listCompleted) {
      this.listCompleted = listCompleted;
    }

    @Override
    public void endpointListStarted(EndpointListKind kind) {}

    @Override
    public void endpointListed(ListedEndpoint endpoint) {}

    @Override
    public void endpointListCompleted() {
      listCompleted.run();
    }

    @Override
    public void objectPurged(long object, int group, long atMs) {}
  }

  private static RegistryRecord.Cache cache(int number, EndpointState state) {
    return new RegistryRecord.Cache(
        "c" + number, "127.0.0.1:" + (1000 + number % 60_000), "z", "box", 0, state, 1, 0);
  }

  private static void write(VirtualRegistry registry, int number, EndpointState state) {
    Map<String, RegistryRecord> writes = new TreeMap<>();
    writes.put(VirtualRegistry.PREFIX + "caches/c" + number, cache(number, state));
    writes.put(VirtualRegistry.TIP_KEY, new RegistryRecord.Other());
    registry.write(writes);
  }

  /** So many caches, watched by so many clients, with so many changes a second. */
  public static ExperimentReport run(
      long seed, int cacheCount, int clientCount, int changesPerSecond) {
    ExperimentReport result =
        new ExperimentReport(seed)
            .figure("caches", cacheCount)
            .figure("clients", clientCount)
            .figure("changes_a_second", changesPerSecond);
    measureApplyDelay(seed, cacheCount, clientCount, changesPerSecond, result);
    measureHerd(seed, result);
    return result;
  }

  private static void measureApplyDelay(
      long seed, int cacheCount, int clientCount, int changesPerSecond, ExperimentReport result) {
    SplittableRandom random = new SplittableRandom(seed);
    VirtualScheduler scheduler = new VirtualScheduler(EPOCH_NANOS);
    VirtualRegistry registry =
        new VirtualRegistry(scheduler, ENDPOINT_COUNT, false, random.nextLong());
    for (int number = 0; number < cacheCount; number++) {
      write(registry, number, EndpointState.UP);
    }
    registry.history.compact(registry.history.revision());
    List<VirtualRegistry.VirtualClient> watchers = new ArrayList<>();
    Map<Long, Long> committedAtNanos = new TreeMap<>();
    Histogram delay = new Histogram(MAX_DELAY_MICROS, 3);
    long bytesBefore = usedMemoryBytes();
    for (int index = 0; index < clientCount; index++) {
      VirtualRegistry.VirtualClient[] self = new VirtualRegistry.VirtualClient[1];
      RegistryView view =
          new RegistryView(
              new Listener(
                  () -> {
                    Long atNanos = committedAtNanos.get(self[0].view.appliedRevision());
                    if (atNanos != null) {
                      delay.recordValue((scheduler.nowNanos() - atNanos) / 1000);
                    }
                  }),
              VirtualRegistry.TIP_KEY,
              cacheCount * 2,
              600 * NANOS_PER_SECOND,
              line -> {});
      self[0] = registry.new VirtualClient(view, cacheCount * 2, random.nextLong(), line -> {});
      watchers.add(self[0]);
    }
    long listingNanos = System.nanoTime();
    watchers.forEach(VirtualRegistry.VirtualClient::start);
    while (scheduler.runNext(EPOCH_NANOS + 2 * NANOS_PER_SECOND)) {
      // The condition does the work.
    }
    listingNanos = System.nanoTime() - listingNanos;
    long memoryBytes = usedMemoryBytes() - bytesBefore;
    long itemsBefore = registry.sentItems;
    long responsesBefore = registry.responseCount;
    long changePeriodNanos = System.nanoTime();
    for (long atNanos = 0;
        atNanos < CHANGE_PERIOD_NANOS;
        atNanos += NANOS_PER_SECOND / changesPerSecond) {
      long timeNanos = EPOCH_NANOS + 2 * NANOS_PER_SECOND + atNanos;
      scheduler.schedule(
          timeNanos,
          () -> {
            write(
                registry,
                random.nextInt(cacheCount),
                random.nextBoolean() ? EndpointState.UP : EndpointState.DRAINING);
            committedAtNanos.put(registry.history.revision(), scheduler.nowNanos());
          });
    }
    while (scheduler.runNext(
        EPOCH_NANOS + 2 * NANOS_PER_SECOND + CHANGE_PERIOD_NANOS + NANOS_PER_SECOND)) {
      // The condition does the work.
    }
    changePeriodNanos = System.nanoTime() - changePeriodNanos;
    long seconds = (CHANGE_PERIOD_NANOS + NANOS_PER_SECOND) / NANOS_PER_SECOND;
    result
        .figure("first_list_cpu_ms_a_client", listingNanos / 1e6 / clientCount)
        .figure("memory_kb_a_client", memoryBytes / 1024 / clientCount)
        .figure("apply_p50_ms", delay.getValueAtPercentile(50) / 1000.0)
        .figure("apply_p99_ms", delay.getValueAtPercentile(99) / 1000.0)
        .figure("apply_max_ms", delay.getMaxValue() / 1000.0)
        .figure(
            "kb_a_second_a_client",
            (registry.sentItems - itemsBefore) * BYTES_PER_KEY / 1024 / seconds / clientCount)
        .figure(
            "answers_a_second_a_client",
            (registry.responseCount - responsesBefore) / seconds / clientCount)
        .figure(
            "cpu_us_a_change_a_client",
            changePeriodNanos
                / 1e3
                / changesPerSecond
                / (CHANGE_PERIOD_NANOS / NANOS_PER_SECOND)
                / clientCount)
        .bar(
            "all at the last revision",
            watchers.stream()
                .allMatch(index -> index.view.appliedRevision() == registry.history.revision()))
        .bar("p99 under 250 ms", delay.getValueAtPercentile(99) < 250_000);
  }

  private static long usedMemoryBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /**
   * Hundreds of clients lose all endpoints for some seconds: how many calls come in the dearest
   * moment of the return.
   */
  private static void measureHerd(long seed, ExperimentReport result) {
    SplittableRandom random = new SplittableRandom(seed);
    VirtualScheduler scheduler = new VirtualScheduler(EPOCH_NANOS);
    VirtualRegistry registry =
        new VirtualRegistry(scheduler, ENDPOINT_COUNT, false, random.nextLong());
    for (int number = 0; number < 50; number++) {
      write(registry, number, EndpointState.UP);
    }
    List<VirtualRegistry.VirtualClient> watchers = new ArrayList<>();
    for (int index = 0; index < HERD_CLIENTS; index++) {
      RegistryView view =
          new RegistryView(
              new Listener(() -> {}),
              VirtualRegistry.TIP_KEY,
              1000,
              600 * NANOS_PER_SECOND,
              line -> {});
      watchers.add(registry.new VirtualClient(view, 1000, random.nextLong(), line -> {}));
    }
    watchers.forEach(VirtualRegistry.VirtualClient::start);
    long outageNanos = EPOCH_NANOS + 3 * NANOS_PER_SECOND;
    long returnNanos = outageNanos + OUTAGE_NANOS;
    scheduler.schedule(
        outageNanos,
        () ->
            registry.endpoints.forEach(endpoint -> endpoint.setBehavior(EndpointBehavior.REFUSES)));
    scheduler.schedule(
        returnNanos,
        () -> {
          registry.endpoints.forEach(endpoint -> endpoint.setBehavior(EndpointBehavior.ANSWERS));
          write(registry, 0, EndpointState.DRAINING);
        });
    while (scheduler.runNext(returnNanos)) {
      // The condition does the work.
    }
    long peakCalls = 0;
    long steadyCalls = 0;
    long allCurrentAfterNanos = 0;
    for (long atNanos = returnNanos;
        atNanos < returnNanos + 8 * NANOS_PER_SECOND;
        atNanos += BIN_NANOS) {
      long[] bytesBefore =
          registry.endpoints.stream().mapToLong(endpoint -> endpoint.callCount).toArray();
      while (scheduler.runNext(atNanos + BIN_NANOS)) {
        // The condition does the work.
      }
      for (int endpoint = 0; endpoint < ENDPOINT_COUNT; endpoint++) {
        long callCount = registry.endpoints.get(endpoint).callCount - bytesBefore[endpoint];
        peakCalls = Math.max(peakCalls, callCount);
        steadyCalls =
            atNanos >= returnNanos + 7 * NANOS_PER_SECOND
                ? Math.max(steadyCalls, callCount)
                : steadyCalls;
      }
      boolean allCurrent =
          watchers.stream()
              .allMatch(
                  index ->
                      index.session.phase() == WatchSession.Phase.CURRENT
                          && index.view.appliedRevision() == registry.history.revision());
      allCurrentAfterNanos =
          allCurrent && allCurrentAfterNanos == 0
              ? atNanos + BIN_NANOS - returnNanos
              : allCurrentAfterNanos;
    }
    result
        .figure("herd_clients", HERD_CLIENTS)
        .figure("herd_dearest_calls_in_100_ms_an_endpoint", peakCalls)
        .figure("herd_steady_calls_in_100_ms_an_endpoint", steadyCalls)
        .figure("herd_all_current_ms", allCurrentAfterNanos / NANOS_PER_MILLI)
        .bar("no herd: under a call a client in the dearest 100 ms", peakCalls < HERD_CLIENTS)
        .bar(
            "all current within 2 s of the return",
            allCurrentAfterNanos > 0 && allCurrentAfterNanos <= 2 * NANOS_PER_SECOND);
  }
}
