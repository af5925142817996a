package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;
import org.amberpath.registry.RegistryView;
import org.amberpath.routing.EndpointState;

/**
 * Measures the delay until clients apply a change, and the CPU time, memory and traffic of each.
 */
final class RegistryApplyDelay {
  private static final int BYTES_PER_KEY = 300;
  private static final int BYTES_PER_KILOBYTE = 1024;
  private static final long LISTING_NANOS = 2 * Simulation.NANOS_PER_SECOND;
  private static final long CHANGE_SECONDS = 10;
  private static final long MEASURED_SECONDS = CHANGE_SECONDS + 1;
  private static final long PURGE_RETENTION_NANOS = 600 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_DELAY_MICROS = 60_000_000;
  private static final long MAX_P99_MICROS = 250_000;

  private final int cacheCount;
  private final int clientCount;
  private final int changesPerSecond;
  private final SplittableRandom random;
  private final VirtualScheduler scheduler = new VirtualScheduler(Simulation.EPOCH_NANOS);
  private final VirtualRegistry registry;
  private final List<VirtualClient> clients = new ArrayList<>();
  private final Map<Long, Long> committedAtNanos = new TreeMap<>();
  private final Histogram delayMicros = new Histogram(MAX_DELAY_MICROS, 3);

  RegistryApplyDelay(long seed, int cacheCount, int clientCount, int changesPerSecond) {
    this.cacheCount = cacheCount;
    this.clientCount = clientCount;
    this.changesPerSecond = changesPerSecond;
    random = new SplittableRandom(seed);
    registry =
        new VirtualRegistry(
            scheduler,
            RegistrySizeExperiment.ENDPOINT_COUNT,
            VirtualRegistry.ReadStyle.WATCH,
            random.nextLong(),
            line -> {});
  }

  void measure(ExperimentReport result) {
    for (int number = 0; number < cacheCount; number++) {
      RegistrySizeExperiment.write(registry, number, EndpointState.UP);
    }
    registry.history().compact(registry.history().revision());
    long bytesBefore = usedMemoryBytes();
    for (int index = 0; index < clientCount; index++) {
      addClient();
    }
    long listingStartedNanos = System.nanoTime();
    clients.forEach(VirtualClient::start);
    scheduler.runUntil(Simulation.EPOCH_NANOS + LISTING_NANOS);
    long listingNanos = System.nanoTime() - listingStartedNanos;
    result
        .figure("first_list_cpu_ms_a_client", listingNanos / 1e6 / clientCount)
        .figure(
            "memory_kb_a_client",
            (usedMemoryBytes() - bytesBefore) / BYTES_PER_KILOBYTE / clientCount);
    measureChanges(result);
  }

  private void addClient() {
    VirtualClient[] self = new VirtualClient[1];
    RegistryView view =
        new RegistryView(
            new RegistrySizeExperiment.CompletionListener(() -> recordApplyDelay(self[0])),
            VirtualRegistry.TIP_KEY,
            cacheCount * 2,
            PURGE_RETENTION_NANOS,
            line -> {});
    self[0] = new VirtualClient(registry, view, cacheCount * 2, random.nextLong(), line -> {});
    clients.add(self[0]);
  }

  private void recordApplyDelay(VirtualClient client) {
    Long committedNanos = committedAtNanos.get(client.view().appliedRevision());
    if (committedNanos != null) {
      delayMicros.recordValue((scheduler.nowNanos() - committedNanos) / 1000);
    }
  }

  private void measureChanges(ExperimentReport result) {
    long itemsBefore = registry.sentItems();
    long responsesBefore = registry.responseCount();
    long startedNanos = System.nanoTime();
    long firstNanos = Simulation.EPOCH_NANOS + LISTING_NANOS;
    for (long offsetNanos = 0;
        offsetNanos < CHANGE_SECONDS * Simulation.NANOS_PER_SECOND;
        offsetNanos += Simulation.NANOS_PER_SECOND / changesPerSecond) {
      scheduler.schedule(firstNanos + offsetNanos, this::change);
    }
    scheduler.runUntil(firstNanos + MEASURED_SECONDS * Simulation.NANOS_PER_SECOND);
    long busyNanos = System.nanoTime() - startedNanos;
    long sentBytes = (registry.sentItems() - itemsBefore) * BYTES_PER_KEY;
    result
        .figure("apply_p50_ms", delayMicros.getValueAtPercentile(50) / 1000.0)
        .figure("apply_p99_ms", delayMicros.getValueAtPercentile(99) / 1000.0)
        .figure("apply_max_ms", delayMicros.getMaxValue() / 1000.0)
        .figure(
            "kb_a_second_a_client", sentBytes / BYTES_PER_KILOBYTE / MEASURED_SECONDS / clientCount)
        .figure(
            "answers_a_second_a_client",
            (registry.responseCount() - responsesBefore) / MEASURED_SECONDS / clientCount)
        .figure(
            "cpu_us_a_change_a_client",
            busyNanos / 1e3 / changesPerSecond / CHANGE_SECONDS / clientCount)
        .bar("all at the last revision", clients.stream().allMatch(this::isAtLastRevision))
        .bar("p99 under 250 ms", delayMicros.getValueAtPercentile(99) < MAX_P99_MICROS);
  }

  private void change() {
    RegistrySizeExperiment.write(
        registry,
        random.nextInt(cacheCount),
        random.nextBoolean() ? EndpointState.UP : EndpointState.DRAINING);
    committedAtNanos.put(registry.history().revision(), scheduler.nowNanos());
  }

  private boolean isAtLastRevision(VirtualClient client) {
    return client.view().appliedRevision() == registry.history().revision();
  }

  private static long usedMemoryBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }
}
