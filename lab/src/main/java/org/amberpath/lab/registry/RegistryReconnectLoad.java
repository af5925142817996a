package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;
import org.amberpath.registry.RegistryView;
import org.amberpath.registry.WatchSession;
import org.amberpath.routing.EndpointState;

/**
 * Measures the reconnect load (thundering herd) after an outage: 500 clients lose all endpoints for
 * 5 s. Reports the highest number of calls to one endpoint within 100 ms after the endpoints
 * return, the same figure once the load is steady, and the time until all clients are current.
 */
final class RegistryReconnectLoad {
  private static final int CLIENTS = 500;
  private static final int CACHES = 50;
  private static final int MAX_KEYS = 1000;
  private static final long PURGE_RETENTION_NANOS = 600 * Simulation.NANOS_PER_SECOND;
  private static final long OUTAGE_START_NANOS =
      Simulation.EPOCH_NANOS + 3 * Simulation.NANOS_PER_SECOND;
  private static final long RECOVERY_NANOS = OUTAGE_START_NANOS + 5 * Simulation.NANOS_PER_SECOND;
  private static final long STEADY_LOAD_START_NANOS =
      RECOVERY_NANOS + 7 * Simulation.NANOS_PER_SECOND;
  private static final long END_NANOS = RECOVERY_NANOS + 8 * Simulation.NANOS_PER_SECOND;
  private static final long BIN_NANOS = 100 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_CURRENT_NANOS = 2 * Simulation.NANOS_PER_SECOND;

  private final SplittableRandom random;
  private final VirtualScheduler scheduler = new VirtualScheduler(Simulation.EPOCH_NANOS);
  private final VirtualRegistry registry;
  private final List<VirtualClient> clients = new ArrayList<>();
  private long peakCalls;
  private long steadyCalls;
  private long allCurrentAfterNanos;

  RegistryReconnectLoad(long seed) {
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
    for (int number = 0; number < CACHES; number++) {
      RegistrySizeExperiment.write(registry, number, EndpointState.UP);
    }
    for (int index = 0; index < CLIENTS; index++) {
      RegistryView view =
          new RegistryView(
              new RegistrySizeExperiment.CompletionListener(() -> {}),
              VirtualRegistry.TIP_KEY,
              MAX_KEYS,
              PURGE_RETENTION_NANOS,
              line -> {});
      clients.add(new VirtualClient(registry, view, MAX_KEYS, random.nextLong(), line -> {}));
    }
    clients.forEach(VirtualClient::start);
    scheduler.schedule(OUTAGE_START_NANOS, () -> setAll(EndpointBehavior.REFUSES));
    scheduler.schedule(
        RECOVERY_NANOS,
        () -> {
          setAll(EndpointBehavior.ANSWERS);
          RegistrySizeExperiment.write(registry, 0, EndpointState.DRAINING);
        });
    scheduler.runUntil(RECOVERY_NANOS);
    for (long binNanos = RECOVERY_NANOS; binNanos < END_NANOS; binNanos += BIN_NANOS) {
      measureBin(binNanos);
    }
    result
        .figure("herd_clients", CLIENTS)
        .figure("herd_dearest_calls_in_100_ms_an_endpoint", peakCalls)
        .figure("herd_steady_calls_in_100_ms_an_endpoint", steadyCalls)
        .figure("herd_all_current_ms", allCurrentAfterNanos / Simulation.NANOS_PER_MILLI)
        .bar("reconnect peak in 100 ms: fewer calls an endpoint than clients", peakCalls < CLIENTS)
        .bar(
            "all clients current within 2 s after the outage",
            allCurrentAfterNanos > 0 && allCurrentAfterNanos <= MAX_CURRENT_NANOS);
  }

  private void measureBin(long binNanos) {
    List<VirtualEndpoint> endpoints = registry.endpoints();
    long[] callsBefore = endpoints.stream().mapToLong(VirtualEndpoint::callCount).toArray();
    scheduler.runUntil(binNanos + BIN_NANOS);
    for (int index = 0; index < endpoints.size(); index++) {
      long calls = endpoints.get(index).callCount() - callsBefore[index];
      peakCalls = Math.max(peakCalls, calls);
      if (binNanos >= STEADY_LOAD_START_NANOS) {
        steadyCalls = Math.max(steadyCalls, calls);
      }
    }
    if (allCurrentAfterNanos == 0 && clients.stream().allMatch(this::isCurrent)) {
      allCurrentAfterNanos = binNanos + BIN_NANOS - RECOVERY_NANOS;
    }
  }

  private boolean isCurrent(VirtualClient client) {
    return client.session().phase() == WatchSession.Phase.CURRENT
        && client.view().appliedRevision() == registry.history().revision();
  }

  private void setAll(EndpointBehavior behavior) {
    registry.endpoints().forEach(endpoint -> endpoint.setBehavior(behavior));
  }
}
