package org.amberpath.lab.registry;

import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.amberpath.lab.simulation.InvariantViolation;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.routing.EndpointState;

/**
 * Writes random changes to the registry in a run of {@link RegistryModel}, and checks that the view
 * reports each drain within 250 ms and each purge within 300 ms while an endpoint is healthy.
 */
final class RegistryWorkload {
  private static final long MAX_DRAIN_NANOS = 250 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_PURGE_NANOS = 300 * Simulation.NANOS_PER_MILLI;
  private static final long RECHECK_INTERVAL_NANOS = 10 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_SHORT_INTERVAL_NANOS = 120 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_LONG_INTERVAL_NANOS = Simulation.NANOS_PER_SECOND;
  private static final int LONG_INTERVAL_ONE_IN = 5;
  private static final int CACHE_COUNT = 12;
  private static final int EXTRA_CACHES = 4;
  private static final int CHANGE_KINDS = 12;
  private static final int CACHES_IN_ONE_TRANSACTION = 4;
  private static final int WITHOUT_TIP_ONE_IN = 10;
  private static final int COMPACTED_ONE_IN = 6;
  private static final int MAX_KEPT_REVISIONS = 20;
  private static final int MAX_PURGE_AGE_MILLIS = 1500;
  private static final int MIN_PORT = 1000;
  private static final int PORTS = 9000;

  private final RegistryModel model;
  private final Simulation simulation;
  private final SplittableRandom random;
  private final VirtualRegistry registry;

  /** Purges that ended before the view had any data: no stale copy could have been served. */
  private final Set<Long> purgesExpiredBeforeFirstData = new HashSet<>();

  private long purgeCount;
  private long drainCount;

  RegistryWorkload(RegistryModel model) {
    this.model = model;
    simulation = model.simulation();
    random = simulation.random();
    registry = model.registry();
  }

  long drainCount() {
    return drainCount;
  }

  void writeInitialCaches() {
    for (int number = 0; number < CACHE_COUNT; number++) {
      write("c" + number, cache(number, EndpointState.UP), true);
    }
  }

  /** Writes one change, and schedules the next. */
  void change() {
    if (!simulation.faultsActive()) {
      return;
    }
    if (!model.isRestoring()) {
      changeOnce();
    }
    simulation.after(
        random.nextLong(
            random.nextInt(LONG_INTERVAL_ONE_IN) == 0
                ? MAX_LONG_INTERVAL_NANOS
                : MAX_SHORT_INTERVAL_NANOS),
        this::change);
  }

  private void changeOnce() {
    int number = random.nextInt(CACHE_COUNT + EXTRA_CACHES);
    String id = "c" + number;
    boolean updatesTip = random.nextInt(WITHOUT_TIP_ONE_IN) > 0;
    switch (random.nextInt(CHANGE_KINDS)) {
      case 0, 1, 2 -> {
        write(id, cache(number, EndpointState.DRAINING), updatesTip);
        if (updatesTip) {
          expectDrain(id);
        }
      }
      case 3, 4, 5 -> write(id, cache(number, EndpointState.UP), updatesTip);
      case 6 -> write(id, null, updatesTip);
      case 7 -> {
        // Deletes the cache, and registers another one under the same id immediately.
        write(id, null, updatesTip);
        write(id, cache(number, EndpointState.UP), updatesTip);
      }
      case 8 -> writeSeveral(updatesTip);
      case 9 -> write(id, new RegistryRecord.Unreadable("spoilt"), updatesTip);
      case 10 -> purge();
      default ->
          registry.write(new TreeMap<>(Map.of("other/" + number, new RegistryRecord.Other())));
    }
    if (random.nextInt(COMPACTED_ONE_IN) == 0) {
      registry
          .history()
          .compact(registry.history().revision() - random.nextLong(MAX_KEPT_REVISIONS));
    }
  }

  private void writeSeveral(boolean updatesTip) {
    Map<String, RegistryRecord> writes = new TreeMap<>();
    for (int count = 0; count < CACHES_IN_ONE_TRANSACTION; count++) {
      int number = random.nextInt(CACHE_COUNT + EXTRA_CACHES);
      writes.put(VirtualRegistry.PREFIX + "caches/c" + number, cache(number, EndpointState.UP));
    }
    write(writes, updatesTip);
  }

  private RegistryRecord.Cache cache(int number, EndpointState state) {
    String address = "127.0.0.1:" + (MIN_PORT + random.nextInt(PORTS));
    return cache("c" + number, address, state);
  }

  /** Returns the record of a cache that has long been running. */
  static RegistryRecord.Cache cache(String id, String address, EndpointState state) {
    return new RegistryRecord.Cache(
        id, address, "z", "box", OptionalInt.of(0), state, OptionalDouble.of(1), 0);
  }

  private void write(String id, RegistryRecord content, boolean updatesTip) {
    Map<String, RegistryRecord> writes = new TreeMap<>();
    writes.put(VirtualRegistry.PREFIX + "caches/" + id, content);
    write(writes, updatesTip);
  }

  private void write(Map<String, RegistryRecord> writes, boolean updatesTip) {
    if (updatesTip) {
      writes.put(VirtualRegistry.TIP_KEY, new RegistryRecord.Other());
    }
    registry.write(writes);
    simulation.trace("written at revision " + registry.history().revision() + ": " + writes);
    model.recordExpectedState();
  }

  // ---- Purges.

  private static String purgeKey(long object) {
    return VirtualRegistry.PREFIX + "purges/" + object;
  }

  private void purge() {
    long object = ++purgeCount;
    Map<String, RegistryRecord> writes = new TreeMap<>();
    writes.put(
        purgeKey(object),
        new RegistryRecord.Purge(
            object,
            0,
            simulation.nowNanos() / Simulation.NANOS_PER_MILLI
                - random.nextLong(MAX_PURGE_AGE_MILLIS)));
    write(writes, true);
    long purgedAtNanos = simulation.nowNanos();
    RevisionedStore<RegistryRecord> history = registry.history();
    simulation.after(RegistryModel.PURGE_RETENTION_NANOS, () -> expirePurge(object, history));
    simulation.after(MAX_PURGE_NANOS, () -> checkPurge(object, purgedAtNanos, history));
  }

  private void expirePurge(long object, RevisionedStore<RegistryRecord> history) {
    if (!model.client().view().hasData()) {
      purgesExpiredBeforeFirstData.add(object);
    }
    if (history == registry.history()) {
      Map<String, RegistryRecord> deletion = new TreeMap<>();
      deletion.put(purgeKey(object), null);
      registry.write(deletion);
      model.recordExpectedState();
    }
  }

  private void checkPurge(
      long object, long purgedAtNanos, RevisionedStore<RegistryRecord> history) {
    // A purge that the restored backup does not contain cannot reach the view.
    if (purgesExpiredBeforeFirstData.contains(object)
        || (history != registry.history()
            && !registry.history().current().containsKey(purgeKey(object)))
        || model.recordedList().purgedSince(object, purgedAtNanos)) {
      return;
    }
    if (model.viewMustBeCurrent() && !model.isRestoring()) {
      throw new InvariantViolation(
          "purge of object "
              + object
              + " written at "
              + purgedAtNanos
              + " ns, not reported by "
              + simulation.nowNanos()
              + " ns");
    }
    if (simulation.nowNanos()
        < simulation.faultsUntilNanos() + RegistryModel.QUIET_PERIOD_NANOS - MAX_PURGE_NANOS) {
      simulation.after(RECHECK_INTERVAL_NANOS, () -> checkPurge(object, purgedAtNanos, history));
    }
  }

  // ---- Drains.

  private void expectDrain(String id) {
    long revision = registry.history().revision();
    long drainedAtNanos = simulation.nowNanos();
    RevisionedStore<RegistryRecord> history = registry.history();
    drainCount++;
    simulation.after(MAX_DRAIN_NANOS, () -> checkDrain(id, revision, drainedAtNanos, history));
  }

  private void checkDrain(
      String id, long revision, long drainedAtNanos, RevisionedStore<RegistryRecord> history) {
    if (history != registry.history()) {
      return;
    }
    VirtualClient client = model.client();
    String viewClusterId = client.view().clusterId();
    if (client.view().appliedRevision() >= revision
        && (viewClusterId.isEmpty() || viewClusterId.equals(history.clusterId()))) {
      return;
    }
    if (model.viewMustBeCurrent()) {
      throw new InvariantViolation(
          "drain of cache "
              + id
              + " at revision "
              + revision
              + ", written at "
              + drainedAtNanos
              + " ns, not applied: applied revision "
              + client.view().appliedRevision()
              + " at "
              + simulation.nowNanos()
              + " ns, session phase "
              + client.session().phase());
    }
    simulation.after(
        RECHECK_INTERVAL_NANOS, () -> checkDrain(id, revision, drainedAtNanos, history));
  }
}
