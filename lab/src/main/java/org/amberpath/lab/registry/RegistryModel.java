package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.amberpath.lab.simulation.InvariantViolation;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.RegistryView;

/**
 * One simulation run of the registry client's protocol logic on a virtual clock, with changes
 * ({@link RegistryWorkload}) and faults ({@link RegistryFaults}) in random order. After each step
 * that starts a listing, the invariant is checked that the caches that the view has listed are a
 * state that the registry was in. The seed alone determines the run.
 */
final class RegistryModel {
  static final long PURGE_RETENTION_NANOS = 4 * Simulation.NANOS_PER_SECOND;
  static final long QUIET_PERIOD_NANOS = 5 * Simulation.NANOS_PER_SECOND;

  /** Time that an endpoint must have been healthy before the view must be up to date. */
  static final long MIN_HEALTHY_NANOS = 1250 * Simulation.NANOS_PER_MILLI;

  private static final long FAULT_PERIOD_NANOS = 20 * Simulation.NANOS_PER_SECOND;
  private static final int BLOCKING_ONE_IN = 4;
  private static final int MIN_ENDPOINTS = 1;
  private static final int MAX_ENDPOINTS = 4;
  private static final int MAX_KEYS = 400;
  private static final int MAX_EXPECTED_STATES = 400;

  /** The cache records at a revision, by id; a null value stands for an unreadable record. */
  private record ExpectedState(long revision, Map<String, RegistryRecord.Cache> caches) {}

  private final Simulation simulation;
  private final VirtualRegistry registry;
  private final VirtualClient client;
  private final RecordedEndpointList recordedList;
  private final RegistryWorkload workload;
  private final RegistryFaults faults;
  private final List<ExpectedState> expectedStates = new ArrayList<>();

  RegistryModel(long seed, Consumer<String> trace) {
    simulation = new Simulation(seed, FAULT_PERIOD_NANOS, TimeUnit.MICROSECONDS, trace);
    SplittableRandom random = simulation.random();
    VirtualRegistry.ReadStyle readStyle =
        random.nextInt(BLOCKING_ONE_IN) == 0
            ? VirtualRegistry.ReadStyle.BLOCKING_READ
            : VirtualRegistry.ReadStyle.WATCH;
    int endpointCount = random.nextInt(MIN_ENDPOINTS, MAX_ENDPOINTS + 1);
    registry =
        new VirtualRegistry(
            simulation.scheduler(),
            endpointCount,
            readStyle,
            random.nextLong(),
            simulation.traceSink());
    recordedList =
        new RecordedEndpointList(
            simulation::nowNanos,
            simulation.traceSink(),
            message -> {
              throw new InvariantViolation(message);
            });
    RegistryView view =
        new RegistryView(
            recordedList,
            VirtualRegistry.TIP_KEY,
            MAX_KEYS,
            PURGE_RETENTION_NANOS,
            simulation.traceSink());
    client = new VirtualClient(registry, view, MAX_KEYS, random.nextLong(), simulation.traceSink());
    workload = new RegistryWorkload(this);
    faults = new RegistryFaults(this);
  }

  Simulation simulation() {
    return simulation;
  }

  VirtualRegistry registry() {
    return registry;
  }

  VirtualClient client() {
    return client;
  }

  RecordedEndpointList recordedList() {
    return recordedList;
  }

  /** Whether the registry is down and waits for its restore from a backup. */
  boolean isRestoring() {
    return faults.isRestoring();
  }

  /** Whether an endpoint has been healthy for long enough that the view must be up to date. */
  boolean viewMustBeCurrent() {
    return registry.anyHealthyFor(MIN_HEALTHY_NANOS);
  }

  /**
   * Runs the simulation.
   *
   * @return the figures of the run by name
   * @throws InvariantViolation if an invariant fails, or the view is stale after the quiet period
   */
  Map<String, Long> run() {
    recordExpectedState();
    workload.writeInitialCaches();
    client.start();
    SplittableRandom random = simulation.random();
    simulation.after(random.nextLong(Simulation.NANOS_PER_SECOND), workload::change);
    simulation.after(random.nextLong(Simulation.NANOS_PER_SECOND), faults::inject);
    simulation.scheduler().schedule(simulation.faultsUntilNanos(), faults::end);
    long steps = simulation.run(QUIET_PERIOD_NANOS, this::checkInvariants);
    boolean viewMustBeCurrent = viewMustBeCurrent();
    if (viewMustBeCurrent
        && (client.view().appliedRevision() < lastRevisionOfPrefix()
            || !matches(expectedStates.get(expectedStates.size() - 1)))) {
      throw new InvariantViolation(
          "the view is stale after the quiet period: applied revision "
              + client.view().appliedRevision()
              + ", registry revision "
              + registry.history().revision()
              + ", session phase "
              + client.session().phase());
    }
    return Map.of(
        "steps",
        steps,
        "drains",
        workload.drainCount(),
        "quiet_judged",
        viewMustBeCurrent ? 1L : 0L,
        "listings",
        recordedList.listingCount());
  }

  private long lastRevisionOfPrefix() {
    return registry.history().current().entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(VirtualRegistry.PREFIX))
        .mapToLong(entry -> entry.getValue().modRevision())
        .max()
        .orElse(0);
  }

  /**
   * Records the registry's current caches, with which {@code checkInvariants} compares the view.
   */
  void recordExpectedState() {
    Map<String, RegistryRecord.Cache> caches = new TreeMap<>();
    registry
        .history()
        .current()
        .forEach(
            (key, versioned) -> {
              if (versioned.value() instanceof RegistryRecord.Cache cache) {
                caches.put(cache.id(), cache);
              } else if (versioned.value() instanceof RegistryRecord.Unreadable) {
                caches.put(key.substring(key.lastIndexOf('/') + 1), null);
              }
            });
    expectedStates.add(new ExpectedState(registry.history().revision(), caches));
    if (expectedStates.size() > MAX_EXPECTED_STATES) {
      expectedStates.remove(0);
    }
  }

  private void checkInvariants() {
    if (!recordedList.checkAndClearChanged()) {
      return;
    }
    long revision = client.view().appliedRevision();
    for (int index = expectedStates.size() - 1; index >= 0; index--) {
      // The last state at or below the applied revision, in the current history or in one that a
      // restore has replaced.
      ExpectedState expected = expectedStates.get(index);
      if (expected.revision <= revision && isLastUpTo(revision, index) && matches(expected)) {
        return;
      }
    }
    simulation.trace("listed caches: " + recordedList.caches());
    throw new InvariantViolation(
        "the listed caches match no state of the registry at applied revision " + revision);
  }

  private boolean isLastUpTo(long revision, int index) {
    return index == expectedStates.size() - 1
        || expectedStates.get(index + 1).revision > revision
        || expectedStates.get(index + 1).revision <= expectedStates.get(index).revision;
  }

  private boolean matches(ExpectedState expected) {
    for (Map.Entry<String, RegistryRecord.Cache> entry : expected.caches.entrySet()) {
      RegistryRecord.Cache cache = entry.getValue();
      if (cache != null && !cache.equals(recordedList.caches().get(entry.getKey()))) {
        return false;
      }
    }
    return expected.caches.keySet().containsAll(recordedList.caches().keySet());
  }
}
