package org.amberpath.lab.registry;

import java.util.List;
import java.util.SplittableRandom;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.registry.RegistryRecord;

/**
 * Injects faults into a run of {@link RegistryModel}: broken connections, endpoints that are
 * silent, refuse connections, are unavailable, reject credentials or are delayed, and a registry
 * that is restored from a backup.
 */
final class RegistryFaults {
  private static final List<EndpointBehavior> WHOLE_REGISTRY_FAULTS =
      List.of(EndpointBehavior.SILENT, EndpointBehavior.REFUSES, EndpointBehavior.UNAVAILABLE);
  private static final int KINDS = 10;
  private static final long MAX_INTERVAL_NANOS = 1500 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_LAG_NANOS = 800 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_SLOWNESS_NANOS = 400 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_HEAL_NANOS = 2 * Simulation.NANOS_PER_SECOND;
  private static final int LONG_OUTAGE_ONE_IN = 4;
  private static final long MAX_LONG_OUTAGE_NANOS = 7 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_SHORT_OUTAGE_NANOS = Simulation.NANOS_PER_SECOND;
  private static final long LAST_BACKUP_BEFORE_END_NANOS = 5 * Simulation.NANOS_PER_SECOND;
  private static final long LAST_RESTORE_BEFORE_END_NANOS = 4 * Simulation.NANOS_PER_SECOND;
  private static final long MAX_BACKUP_AGE_NANOS = 3 * Simulation.NANOS_PER_SECOND;
  private static final long MIN_DOWN_NANOS = 1200 * Simulation.NANOS_PER_MILLI;

  private final RegistryModel model;
  private final VirtualRegistry registry;
  private final Simulation simulation;
  private final SplittableRandom random;
  private boolean restoring;
  private int newClusterIdCount;

  RegistryFaults(RegistryModel model) {
    this.model = model;
    registry = model.registry();
    simulation = model.simulation();
    random = simulation.random();
  }

  /** Whether the registry is down and waits for its restore. */
  boolean isRestoring() {
    return restoring;
  }

  /** Injects one fault, and schedules the next. */
  void inject() {
    if (!simulation.faultsActive()) {
      return;
    }
    VirtualEndpoint endpoint =
        registry.endpoints().get(random.nextInt(registry.endpoints().size()));
    switch (random.nextInt(KINDS)) {
      case 0, 1 -> endpoint.breakConnections();
      case 2, 3 -> makeUnavailable(endpoint, EndpointBehavior.SILENT);
      case 4 -> makeUnavailable(endpoint, EndpointBehavior.REFUSES);
      case 5 ->
          makeUnavailable(
              endpoint,
              random.nextBoolean() ? EndpointBehavior.UNAVAILABLE : EndpointBehavior.UNAUTHORISED);
      case 6 -> endpoint.setDelays(random.nextLong(MAX_LAG_NANOS), 0);
      case 7 -> endpoint.setDelays(0, random.nextLong(MAX_SLOWNESS_NANOS));
      case 8 -> {
        EndpointBehavior behavior =
            WHOLE_REGISTRY_FAULTS.get(random.nextInt(WHOLE_REGISTRY_FAULTS.size()));
        registry.endpoints().forEach(each -> makeUnavailable(each, behavior));
      }
      default -> restoreFromBackup();
    }
    simulation.scheduleNextFault(MAX_INTERVAL_NANOS, this::inject);
    if (random.nextInt(2) == 0) {
      simulation.after(
          random.nextLong(MAX_HEAL_NANOS),
          () -> {
            if (!restoring) {
              endpoint.heal();
            }
          });
    }
  }

  private void makeUnavailable(VirtualEndpoint endpoint, EndpointBehavior behavior) {
    endpoint.setBehavior(behavior);
    simulation.after(
        random.nextLong(
            random.nextInt(LONG_OUTAGE_ONE_IN) == 0
                ? MAX_LONG_OUTAGE_NANOS
                : MAX_SHORT_OUTAGE_NANOS),
        () -> {
          if (!restoring) {
            endpoint.setBehavior(EndpointBehavior.ANSWERS);
          }
        });
  }

  /**
   * Makes a backup, takes the registry down up to 3 s later, and restores the backup, so that
   * writes after the backup are lost. The restored registry has the same cluster id or a new one.
   */
  private void restoreFromBackup() {
    if (restoring
        || simulation.nowNanos() > simulation.faultsUntilNanos() - LAST_BACKUP_BEFORE_END_NANOS
        || random.nextInt(2) == 0) {
      return;
    }
    String clusterId =
        random.nextBoolean() ? registry.history().clusterId() : "c" + (2 + ++newClusterIdCount);
    RevisionedStore<RegistryRecord> backup = registry.history().copyAs(clusterId);
    simulation.after(random.nextLong(MAX_BACKUP_AGE_NANOS), () -> takeDown(backup));
  }

  private void takeDown(RevisionedStore<RegistryRecord> backup) {
    if (restoring
        || simulation.nowNanos() > simulation.faultsUntilNanos() - LAST_RESTORE_BEFORE_END_NANOS) {
      return;
    }
    restoring = true;
    registry.endpoints().forEach(endpoint -> endpoint.setBehavior(EndpointBehavior.REFUSES));
    simulation.after(
        MIN_DOWN_NANOS + random.nextLong(Simulation.NANOS_PER_SECOND),
        () -> {
          restoring = false;
          registry.restore(backup);
          model.recordedList().historyReplaced();
          model.recordExpectedState();
          registry.endpoints().forEach(VirtualEndpoint::heal);
        });
  }

  /** Clears the faults of all endpoints. */
  void end() {
    registry.endpoints().forEach(VirtualEndpoint::heal);
  }
}
