package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.amberpath.lab.VirtualScheduler;
import org.amberpath.lab.registry.VirtualRegistry.EndpointBehavior;
import org.amberpath.lab.registry.VirtualRegistry.VirtualEndpoint;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.RegistryView;
import org.amberpath.routing.EndpointState;

/**
 * One run of the registry's pure half on a virtual clock: changes and faults in any order from a
 * seed, with all bars checked after each step. Everything in it follows from the seed alone.
 */
final class RegistryModel {
  private static final long NANOS_PER_MILLI = VirtualRegistry.NANOS_PER_MILLI;
  private static final long NANOS_PER_SECOND = VirtualRegistry.NANOS_PER_SECOND;
  private static final long EPOCH_NANOS = 1_700_000_000L * NANOS_PER_SECOND;
  private static final long FAULT_PERIOD_NANOS = 20 * NANOS_PER_SECOND;
  private static final long QUIET_PERIOD_NANOS = 5 * NANOS_PER_SECOND;
  private static final long PURGE_RETENTION_NANOS = 4 * NANOS_PER_SECOND;
  private static final long HEALTHY_BEFORE_JUDGING_NANOS = 1250 * NANOS_PER_MILLI;
  private static final long MAX_DRAIN_NANOS = 250 * NANOS_PER_MILLI;
  private static final long MAX_PURGE_NANOS = 300 * NANOS_PER_MILLI;
  private static final List<EndpointBehavior> WHOLE_REGISTRY_FAULTS =
      List.of(EndpointBehavior.SILENT, EndpointBehavior.REFUSES, EndpointBehavior.UNAVAILABLE);
  private static final int CACHE_COUNT = 12;
  private static final int MAX_KEYS = 400;
  private static final int MAX_EXPECTED_STATES = 400;

  /** A bar that was missed. */
  static final class InvariantViolation extends RuntimeException {
    InvariantViolation(String message) {
      super(message);
    }
  }

  /** What the caches were at a revision; a value of null is one that can't be read. */
  private record ExpectedState(long revision, Map<String, RegistryRecord.Cache> caches) {}

  private final SplittableRandom random;
  private final VirtualScheduler scheduler = new VirtualScheduler(EPOCH_NANOS);
  private final VirtualRegistry registry;
  private final VirtualRegistry.VirtualClient client;
  private final RecordedEndpointList recordedList;
  private final Set<Long> purgesNotNeeded = new HashSet<>();
  private final List<ExpectedState> expectedStates = new ArrayList<>();
  private final long faultsUntilNanos = EPOCH_NANOS + FAULT_PERIOD_NANOS;
  private long purgeCount;
  private boolean restoring;
  private long steps;
  private long drainCount;
  private int newClusterIds;

  RegistryModel(long seed, Consumer<String> trace) {
    random = new SplittableRandom(seed);
    boolean blockingReads = random.nextInt(4) == 0;
    registry =
        new VirtualRegistry(scheduler, random.nextInt(1, 5), blockingReads, random.nextLong());
    Consumer<String> timedTrace =
        line -> trace.accept((scheduler.nowNanos() - EPOCH_NANOS) / 1000 + " us: " + line);
    registry.trace = timedTrace;
    recordedList =
        new RecordedEndpointList(
            scheduler::nowNanos,
            timedTrace,
            message -> {
              throw new InvariantViolation(message);
            });
    RegistryView view =
        new RegistryView(
            recordedList, VirtualRegistry.TIP_KEY, MAX_KEYS, PURGE_RETENTION_NANOS, timedTrace);
    client = registry.new VirtualClient(view, MAX_KEYS, random.nextLong(), timedTrace);
  }

  /** Plays it all. */
  Map<String, Long> run() {
    recordExpectedState();
    for (int cache = 0; cache < CACHE_COUNT; cache++) {
      write("c" + cache, cache(cache, EndpointState.UP), true);
    }
    client.start();
    scheduler.schedule(EPOCH_NANOS + random.nextLong(NANOS_PER_SECOND), this::scheduleChange);
    scheduler.schedule(EPOCH_NANOS + random.nextLong(NANOS_PER_SECOND), this::injectFault);
    scheduler.schedule(faultsUntilNanos, this::endFaults);
    while (scheduler.runNext(faultsUntilNanos + QUIET_PERIOD_NANOS)) {
      steps++;
      checkInvariants();
    }
    boolean healthy = registry.anyHealthyFor(HEALTHY_BEFORE_JUDGING_NANOS);
    if (healthy
        && (client.view.appliedRevision() < lastRevisionOfPrefix()
            || !matches(expectedStates.get(expectedStates.size() - 1)))) {
      throw new InvariantViolation(
          "quiet, but the view is at "
              + client.view.appliedRevision()
              + " of "
              + registry.history.revision()
              + ": "
              + client.session.phase());
    }
    return Map.of(
        "steps",
        steps,
        "drains",
        drainCount,
        "quiet_judged",
        healthy ? 1L : 0L,
        "listings",
        recordedList.listingCount());
  }

  private long lastRevisionOfPrefix() {
    return registry.history.current().entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(VirtualRegistry.PREFIX))
        .mapToLong(entry -> entry.getValue().modRevision())
        .max()
        .orElse(0);
  }

  // ---- What is written.

  private RegistryRecord.Cache cache(int number, EndpointState state) {
    return new RegistryRecord.Cache(
        "c" + number, "127.0.0.1:" + (1000 + random.nextInt(9000)), "z", "box", 0, state, 1, 0);
  }

  private void write(String id, RegistryRecord content, boolean touchesTip) {
    Map<String, RegistryRecord> writes = new TreeMap<>();
    writes.put(VirtualRegistry.PREFIX + "caches/" + id, content);
    write(writes, touchesTip);
  }

  private void write(Map<String, RegistryRecord> writes, boolean touchesTip) {
    if (touchesTip) {
      writes.put(VirtualRegistry.TIP_KEY, new RegistryRecord.Other());
    }
    registry.write(writes);
    registry.trace.accept("written as " + registry.history.revision() + ": " + writes);
    recordExpectedState();
  }

  private void recordExpectedState() {
    Map<String, RegistryRecord.Cache> caches = new TreeMap<>();
    registry
        .history
        .current()
        .forEach(
            (key, versioned) -> {
              if (versioned.value() instanceof RegistryRecord.Cache cache) {
                caches.put(cache.id(), cache);
              } else if (versioned.value() instanceof RegistryRecord.Unreadable) {
                caches.put(key.substring(key.lastIndexOf('/') + 1), null);
              }
            });
    expectedStates.add(new ExpectedState(registry.history.revision(), caches));
    if (expectedStates.size() > MAX_EXPECTED_STATES) {
      expectedStates.remove(0);
    }
  }

  private void scheduleChange() {
    if (scheduler.nowNanos() >= faultsUntilNanos) {
      return;
    }
    if (!restoring) {
      applyRandomChange();
    }
    scheduler.schedule(
        scheduler.nowNanos()
            + random.nextLong(random.nextInt(5) == 0 ? NANOS_PER_SECOND : 120 * NANOS_PER_MILLI),
        this::scheduleChange);
  }

  private void applyRandomChange() {
    int number = random.nextInt(CACHE_COUNT + 4);
    String id = "c" + number;
    boolean touchesTip = random.nextInt(10) > 0;
    switch (random.nextInt(12)) {
      case 0, 1, 2 -> {
        write(id, cache(number, EndpointState.DRAINING), touchesTip);
        expectDrain(id, touchesTip);
      }
      case 3, 4, 5 -> write(id, cache(number, EndpointState.UP), touchesTip);
      case 6 -> write(id, null, touchesTip);
      case 7 -> {
        // Gone, and another one under the same id at once.
        write(id, null, touchesTip);
        write(id, cache(number, EndpointState.UP), touchesTip);
      }
      case 8 -> {
        Map<String, RegistryRecord> writes = new TreeMap<>();
        for (int more = 0; more < 4; more++) {
          int otherNumber = random.nextInt(CACHE_COUNT + 4);
          writes.put(
              VirtualRegistry.PREFIX + "caches/c" + otherNumber,
              cache(otherNumber, EndpointState.UP));
        }
        write(writes, touchesTip);
      }
      case 9 -> write(id, new RegistryRecord.Unreadable("spoilt"), touchesTip);
      case 10 -> purge();
      default ->
          registry.write(new TreeMap<>(Map.of("other/" + number, new RegistryRecord.Other())));
    }
    if (random.nextInt(6) == 0) {
      registry.history.compact(registry.history.revision() - random.nextLong(20));
    }
  }

  private void purge() {
    long object = ++purgeCount;
    String key = VirtualRegistry.PREFIX + "purges/" + object;
    Map<String, RegistryRecord> writes = new TreeMap<>();
    writes.put(
        key,
        new RegistryRecord.Purge(
            object, 0, scheduler.nowNanos() / NANOS_PER_MILLI - random.nextLong(1500)));
    write(writes, true);
    long sinceNanos = scheduler.nowNanos();
    RevisionedStore<RegistryRecord> store = registry.history;
    scheduler.schedule(
        sinceNanos + PURGE_RETENTION_NANOS,
        () -> {
          // Who never had a list by then has served nothing that it could be about.
          if (!client.view.hasData()) {
            purgesNotNeeded.add(object);
          }
          if (store == registry.history) {
            Map<String, RegistryRecord> deletion = new TreeMap<>();
            deletion.put(key, null);
            registry.write(deletion);
            recordExpectedState();
          }
        });
    scheduler.schedule(sinceNanos + MAX_PURGE_NANOS, () -> checkPurge(object, sinceNanos, store));
  }

  private void checkPurge(long object, long sinceNanos, RevisionedStore<RegistryRecord> store) {
    // What a restored registry never held, nobody can hear of.
    if (purgesNotNeeded.contains(object)
        || (store != registry.history
            && !registry.history.current().containsKey(VirtualRegistry.PREFIX + "purges/" + object))
        || recordedList.purgedSince(object, sinceNanos)) {
      return;
    }
    if (registry.anyHealthyFor(HEALTHY_BEFORE_JUDGING_NANOS) && !restoring) {
      throw new InvariantViolation(
          "purge " + object + " of " + sinceNanos + " not told by " + scheduler.nowNanos());
    }
    if (scheduler.nowNanos() < faultsUntilNanos + QUIET_PERIOD_NANOS - MAX_PURGE_NANOS) {
      scheduler.schedule(
          scheduler.nowNanos() + 10 * NANOS_PER_MILLI, () -> checkPurge(object, sinceNanos, store));
    }
  }

  private void expectDrain(String id, boolean touchesTip) {
    long revision = registry.history.revision();
    long sinceNanos = scheduler.nowNanos();
    RevisionedStore<RegistryRecord> store = registry.history;
    if (touchesTip) {
      drainCount++;
      scheduler.schedule(
          sinceNanos + MAX_DRAIN_NANOS, () -> checkDrain(id, revision, sinceNanos, store));
    }
  }

  private void checkDrain(
      String id, long revision, long sinceNanos, RevisionedStore<RegistryRecord> store) {
    if (store != registry.history) {
      return;
    }
    if (client.view.appliedRevision() >= revision
        && client
            .view
            .clusterId()
            .equals(client.view.clusterId().isEmpty() ? "" : store.clusterId)) {
      return;
    }
    if (registry.anyHealthyFor(HEALTHY_BEFORE_JUDGING_NANOS)) {
      throw new InvariantViolation(
          "drain of "
              + id
              + " at revision "
              + revision
              + ", "
              + sinceNanos
              + ", view at "
              + client.view.appliedRevision()
              + " by "
              + scheduler.nowNanos()
              + ": "
              + client.session.phase());
    }
    scheduler.schedule(
        scheduler.nowNanos() + 10 * NANOS_PER_MILLI,
        () -> checkDrain(id, revision, sinceNanos, store));
  }

  // ---- What goes wrong.

  private void injectFault() {
    if (scheduler.nowNanos() >= faultsUntilNanos) {
      return;
    }
    VirtualEndpoint endpoint = registry.endpoints.get(random.nextInt(registry.endpoints.size()));
    switch (random.nextInt(10)) {
      case 0, 1 -> endpoint.breakConnections();
      case 2, 3 -> makeUnavailable(endpoint, EndpointBehavior.SILENT);
      case 4 -> makeUnavailable(endpoint, EndpointBehavior.REFUSES);
      case 5 ->
          makeUnavailable(
              endpoint,
              random.nextBoolean() ? EndpointBehavior.UNAVAILABLE : EndpointBehavior.UNAUTHORISED);
      case 6 -> endpoint.setDelays(random.nextLong(800 * NANOS_PER_MILLI), 0);
      case 7 -> endpoint.setDelays(0, random.nextLong(400 * NANOS_PER_MILLI));
      case 8 -> {
        EndpointBehavior behavior =
            WHOLE_REGISTRY_FAULTS.get(random.nextInt(WHOLE_REGISTRY_FAULTS.size()));
        registry.endpoints.forEach(each -> makeUnavailable(each, behavior));
      }
      default -> restoreFromBackup();
    }
    // Now and then two in the same moment.
    long delayNanos = random.nextInt(4) == 0 ? 0 : random.nextLong(1500 * NANOS_PER_MILLI);
    scheduler.schedule(scheduler.nowNanos() + delayNanos, this::injectFault);
    if (random.nextInt(2) == 0) {
      scheduler.schedule(
          scheduler.nowNanos() + random.nextLong(2 * NANOS_PER_SECOND),
          () -> {
            if (!restoring) {
              endpoint.setDelays(0, 0);
              endpoint.setBehavior(EndpointBehavior.ANSWERS);
            }
          });
    }
  }

  private void makeUnavailable(VirtualEndpoint endpoint, EndpointBehavior behavior) {
    endpoint.setBehavior(behavior);
    scheduler.schedule(
        scheduler.nowNanos()
            + random.nextLong(random.nextInt(4) == 0 ? 7 * NANOS_PER_SECOND : NANOS_PER_SECOND),
        () -> {
          if (!restoring) {
            endpoint.setBehavior(EndpointBehavior.ANSWERS);
          }
        });
  }

  /**
   * The registry goes down, and comes back as it was some writes ago: under its id or another one.
   */
  private void restoreFromBackup() {
    if (restoring
        || scheduler.nowNanos() > faultsUntilNanos - 5 * NANOS_PER_SECOND
        || random.nextInt(2) == 0) {
      return;
    }
    String id = random.nextBoolean() ? registry.history.clusterId : "c" + (2 + ++newClusterIds);
    RevisionedStore<RegistryRecord> backup = registry.history.copyAs(id);
    scheduler.schedule(
        scheduler.nowNanos() + random.nextLong(3 * NANOS_PER_SECOND),
        () -> {
          if (restoring || scheduler.nowNanos() > faultsUntilNanos - 4 * NANOS_PER_SECOND) {
            return;
          }
          restoring = true;
          registry.endpoints.forEach(endpoint -> endpoint.setBehavior(EndpointBehavior.REFUSES));
          scheduler.schedule(
              scheduler.nowNanos() + 1200 * NANOS_PER_MILLI + random.nextLong(NANOS_PER_SECOND),
              () -> {
                restoring = false;
                registry.restore(backup);
                recordedList.historyReplaced();
                recordExpectedState();
                registry.endpoints.forEach(
                    endpoint -> {
                      endpoint.setDelays(0, 0);
                      endpoint.setBehavior(EndpointBehavior.ANSWERS);
                    });
              });
        });
  }

  private void endFaults() {
    registry.endpoints.forEach(
        endpoint -> {
          endpoint.setDelays(0, 0);
          endpoint.setBehavior(EndpointBehavior.ANSWERS);
        });
  }

  // ---- What is told, and the bars.

  private void checkInvariants() {
    if (!recordedList.takeChanged()) {
      return;
    }
    long revision = client.view.appliedRevision();
    for (int sinceNanos = expectedStates.size() - 1; sinceNanos >= 0; sinceNanos--) {
      // The last truth at or under the revision, in this history or one before it.
      ExpectedState expected = expectedStates.get(sinceNanos);
      boolean isLastAtRevision =
          sinceNanos == expectedStates.size() - 1
              || expectedStates.get(sinceNanos + 1).revision > revision
              || expectedStates.get(sinceNanos + 1).revision <= expected.revision;
      if (expected.revision <= revision && isLastAtRevision && matches(expected)) {
        return;
      }
    }
    registry.trace.accept("told: " + recordedList.caches());
    throw new InvariantViolation(
        "what was told is no state of the registry at revision " + revision);
  }

  private boolean matches(ExpectedState expected) {
    for (String id : expected.caches.keySet()) {
      RegistryRecord.Cache cache = expected.caches.get(id);
      if (cache != null && !cache.equals(recordedList.caches().get(id))) {
        return false;
      }
    }
    return expected.caches.keySet().containsAll(recordedList.caches().keySet());
  }
}
