package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.LoadGenerator;
import org.amberpath.lab.LoopbackTestbed;
import org.amberpath.lab.StandInCache;
import org.amberpath.lab.registry.StandInRegistry.Endpoint;
import org.amberpath.lab.registry.StandInRegistry.EndpointBehavior;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.runtime.RecordCodec;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySource;
import org.amberpath.routing.EndpointState;

/**
 * A real gateway on sockets while its registry changes several hundred times a minute, compacts,
 * lags, falls silent and disconnects at random, from a seed. What the gateway was told is held
 * against what the registry holds each time that it is quiet, and what caches and clients saw
 * against the rules.
 */
public final class RegistryExperiment {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long HEALTHY_BEFORE_JUDGING_NANOS = 1250 * NANOS_PER_MILLI;
  private static final long SOCKET_ALLOWANCE_NANOS = 50 * NANOS_PER_MILLI;
  private static final long MAX_DRAIN_NANOS = 250 * NANOS_PER_MILLI + SOCKET_ALLOWANCE_NANOS;
  private static final long MAX_PURGE_MILLIS = 300;
  private static final int EDGE_CACHES = 8;
  private static final int CONNECTIONS = 8;
  private static final int MAX_VIOLATIONS = 10;
  private static final long FAULT_PERIOD_MILLIS = 4000;
  private static final long QUIET_PERIOD_MILLIS = 2500;
  private static final long TICK_MILLIS = 5;
  private static final long WARM_UP_MILLIS = 2500;

  /**
   * A loop of this process that comes so late is no fault of the gateway's: for a while nothing is
   * judged.
   */
  private static final long STALL_NANOS = 25 * NANOS_PER_MILLI;

  private static final long UNJUDGED_AFTER_STALL_NANOS = 800 * NANOS_PER_MILLI;

  private static final double MAX_UNJUDGED_SHARE = 0.2;

  private final SplittableRandom random;
  private final LoopbackTestbed testbed;
  private final List<String> violations = new ArrayList<>();
  private final RecordedEndpointList recordedList;

  /** Of each drained cache, when that was written; forgotten when it is ready again. */
  private final Map<String, Long> drainedAtNanos = new HashMap<>();

  private final Map<String, Long> purgedAtMillis = new HashMap<>();

  /**
   * The late GETs looked at, each once: bounded by the drains of a day and the GETs that came late
   * to each.
   */
  private final Set<String> judgedRequests = new HashSet<>();

  private final Set<String> absentCaches = new TreeSet<>();
  private long changeCount;
  private long faultCount;
  private long drainCount;
  private long purgeCount;
  private long quietPeriods;
  private long worstDrainNanos;
  private long lastPurgeNumber;
  private long restoreCount;
  private long observedAtNanos = System.nanoTime();
  private long unjudgedNanos;
  private volatile long stalledAtNanos = System.nanoTime();
  private boolean faultsActive;
  private boolean restoring;

  private RegistryExperiment(long seed) {
    random = new SplittableRandom(seed);
    testbed = new LoopbackTestbed(seed);
    recordedList =
        new RecordedEndpointList(System::nanoTime, line -> {}, this::violation)
            .allowRepeatedPurges();
  }

  private synchronized void violation(String message) {
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(message);
    }
  }

  /** Plays so many seconds. */
  public static ExperimentReport run(long seed, int seconds, RegistrySettings.ProtocolKind protocol)
      throws Exception {
    return new RegistryExperiment(seed).runAll(seed, seconds, protocol);
  }

  private ExperimentReport runAll(long seed, int seconds, RegistrySettings.ProtocolKind protocol)
      throws Exception {
    ExperimentReport result = new ExperimentReport(seed).figure("form", protocol.name());
    try (testbed) {
      testbed.open(3, EDGE_CACHES);
      testbed.serve(
          (vertx, endpointListener, own) ->
              new RegistrySource(
                  vertx,
                  testbed.registrySettings(protocol),
                  recordedList.forwardingTo(endpointListener),
                  own));
      LoadGenerator loadGenerator =
          new LoadGenerator(testbed.vertx, LabSettings.CLIPS, 1500, seed, this::responseReceived);
      LoopbackTestbed.await(
          testbed.callOnLoop(() -> loadGenerator.start(testbed.gateway.port(), CONNECTIONS, 150)));
      // Cold code is slow, and no fault of what is tried.
      Thread.sleep(WARM_UP_MILLIS);
      long untilNanos = System.nanoTime() + seconds * 1000L * NANOS_PER_MILLI;
      long sinceNanos = System.nanoTime();
      testbed.callOnLoop(
          () -> {
            observedAtNanos =
                sinceNanos; // Guards against the time of the start, which would count as a
                            // standstill.
            stalledAtNanos = sinceNanos - UNJUDGED_AFTER_STALL_NANOS;
            return testbed.vertx.setPeriodic(TICK_MILLIS, tick -> observe());
          });
      testbed.watchGatewayLoop(
          TICK_MILLIS,
          lateNanos -> {
            if (lateNanos > STALL_NANOS) {
              stalledAtNanos = System.nanoTime();
            }
          });
      do {
        testbed.callOnLoop(
            () -> {
              faultsActive = true;
              scheduleChange();
              injectFault();
              return null;
            });
        Thread.sleep(FAULT_PERIOD_MILLIS);
        checkWhileQuiet();
      } while (System.nanoTime() < untilNanos);
      testbed.callOnLoop(
          () -> {
            loadGenerator.stop();
            return null;
          });
      Thread.sleep(1700);
      for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
        result.figure(outcome.name().toLowerCase(Locale.ROOT), loadGenerator.countOf(outcome));
      }
      result
          .figure("changes", changeCount)
          .figure("faults", faultCount)
          .figure("restores", restoreCount)
          .figure("drains", drainCount)
          .figure("purges", purgeCount)
          .figure("quiet_times", quietPeriods)
          .figure("listings", recordedList.listingCount())
          .figure("last_get_after_drain_ms", worstDrainNanos / NANOS_PER_MILLI)
          .figure("unjudged_ms", unjudgedNanos / NANOS_PER_MILLI)
          .figure("p99_ms", loadGenerator.latency().getValueAtPercentile(99) / 1000.0)
          .figure("wrong", violations)
          .bar("view equals registry, drains, purges, order", violations.isEmpty())
          .bar(
              "not void: four fifths judged",
              unjudgedNanos <= (System.nanoTime() - sinceNanos) * MAX_UNJUDGED_SHARE)
          .bar("no GET lost", loadGenerator.countOf(LoadGenerator.Outcome.LOST) == 0)
          .bar("one answer each", loadGenerator.countOf(LoadGenerator.Outcome.TWICE) == 0);
    }
    return result;
  }

  private boolean isJudged() {
    return System.nanoTime() - stalledAtNanos > UNJUDGED_AFTER_STALL_NANOS;
  }

  private boolean anyHealthyFor(long durationNanos) {
    return isJudged()
        && testbed.registry.endpoints().stream()
            .anyMatch(endpoint -> endpoint.isHealthyFor(durationNanos));
  }

  // ---- What happens.

  private void scheduleChange() {
    if (!faultsActive) {
      return;
    }
    if (!restoring) {
      applyRandomChange();
    }
    testbed.vertx.setTimer(random.nextLong(20, 220), timer -> scheduleChange());
  }

  private void applyRandomChange() {
    changeCount++;
    String id = "e" + random.nextInt(EDGE_CACHES);
    switch (random.nextInt(8)) {
      case 0, 1, 2 -> {
        // Half of the caches stay.
        if (drainedAtNanos.size() + absentCaches.size() < EDGE_CACHES / 2
            && !absentCaches.contains(id)
            && !drainedAtNanos.containsKey(id)) {
          testbed.putCache(id, EndpointState.DRAINING);
          drainedAtNanos.put(id, System.nanoTime());
          drainCount++;
        }
      }
      case 3 -> {
        if (drainedAtNanos.size() + absentCaches.size() < EDGE_CACHES / 2
            && !drainedAtNanos.containsKey(id)
            && absentCaches.add(id)) {
          testbed.putCache(id, null);
        }
      }
      case 4 -> {
        long object = 1L + random.nextInt(20);
        long atNanos = System.currentTimeMillis();
        String objectName = String.format("%016x", object);
        String key = LoopbackTestbed.PREFIX + RecordCodec.PURGES_PREFIX + ++lastPurgeNumber;
        testbed.write(key, RecordCodec.encode(new RegistryRecord.Purge(object, 0, atNanos)));
        purgedAtMillis.put(objectName, atNanos);
        purgeCount++;
        for (StandInCache cache : testbed.caches.values()) {
          testbed.vertx.setTimer(1 + random.nextLong(1500), lateNanos -> cache.drop(objectName));
        }
      }
      case 5 ->
          testbed.write(
              LoopbackTestbed.PREFIX + RecordCodec.CACHES_PREFIX + "spoilt",
              new byte[] {'{', (byte) random.nextInt(256)});
      default -> {
        drainedAtNanos.remove(id);
        absentCaches.remove(id);
        testbed.putCache(id, EndpointState.UP);
      }
    }
    if (random.nextInt(5) == 0) {
      testbed.registry.compact(random.nextLong(10));
    }
  }

  private void injectFault() {
    if (!faultsActive) {
      return;
    }
    List<Endpoint> endpoints = testbed.registry.endpoints();
    Endpoint endpoint = endpoints.get(random.nextInt(endpoints.size()));
    if (!restoring) {
      faultCount++;
      switch (random.nextInt(8)) {
        case 0 -> endpoint.breakConnections();
        case 1 -> endpoint.endWatches();
        case 2, 3 -> makeUnavailable(endpoint, EndpointBehavior.SILENT);
        case 4 -> makeUnavailable(endpoint, EndpointBehavior.REFUSES);
        case 5 -> makeUnavailable(endpoint, EndpointBehavior.UNAVAILABLE);
        case 6 -> endpoint.setLagMillis(random.nextLong(400));
        default -> {
          if (random.nextInt(3) == 0) {
            restoreFromBackup(endpoints);
          }
        }
      }
      testbed.vertx.setTimer(1 + random.nextLong(1500), timer -> endpoint.setLagMillis(0));
    }
    testbed.vertx.setTimer(
        random.nextInt(4) == 0 ? 1 : random.nextLong(50, 1200), timer -> injectFault());
  }

  private void makeUnavailable(Endpoint endpoint, EndpointBehavior behavior) {
    endpoint.setBehavior(behavior);
    testbed.vertx.setTimer(
        1 + random.nextLong(1500),
        timer -> {
          if (!restoring) {
            endpoint.setBehavior(EndpointBehavior.ANSWERS);
          }
        });
  }

  /**
   * All endpoints go, and come back with a registry of another id that holds what was backed up
   * just before.
   */
  private void restoreFromBackup(List<Endpoint> endpoints) {
    restoring = true;
    restoreCount++;
    Runnable restore = testbed.registry.backupAs("10" + (1 + restoreCount));
    endpoints.forEach(endpoint -> endpoint.setBehavior(EndpointBehavior.REFUSES));
    testbed.vertx.setTimer(
        1300,
        timer -> {
          restore.run();
          restoring = false;
          recordedList.historyReplaced();
          endpoints.forEach(endpoint -> endpoint.setBehavior(EndpointBehavior.ANSWERS));
        });
  }

  private void checkWhileQuiet() throws Exception {
    testbed.callOnLoop(() -> faultsActive = false);
    Thread.sleep(1600);
    testbed.callOnLoop(
        () -> {
          testbed
              .registry
              .endpoints()
              .forEach(
                  endpoint -> {
                    endpoint.setLagMillis(0);
                    endpoint.setBehavior(EndpointBehavior.ANSWERS);
                  });
          return null;
        });
    Thread.sleep(QUIET_PERIOD_MILLIS);
    testbed.callOnLoop(
        () -> {
          quietPeriods++;
          Map<String, EndpointState> registryStates = new HashMap<>();
          testbed.registry.entries().keySet().stream()
              .filter(key -> key.startsWith(LoopbackTestbed.PREFIX + RecordCodec.CACHES_PREFIX))
              .map(
                  key ->
                      key.substring((LoopbackTestbed.PREFIX + RecordCodec.CACHES_PREFIX).length()))
              .filter(id -> !id.equals("spoilt"))
              .forEach(
                  id ->
                      registryStates.put(
                          id,
                          drainedAtNanos.containsKey(id)
                              ? EndpointState.DRAINING
                              : EndpointState.UP));
          Map<String, EndpointState> gatewayStates = recordedList.endpointStates();
          if (!registryStates.equals(gatewayStates)) {
            violation(
                "quiet, the registry holds "
                    + registryStates
                    + " and the gateway was told "
                    + gatewayStates);
          }
          return null;
        });
  }

  // ---- What is looked at.

  /**
   * A GET that came to a drained cache too late, while the drain could be known. Judged once, when
   * it is first seen: guards against a GET that is blamed seconds later, when an endpoint has been
   * good for long again.
   */
  private void observe() {
    long nowNanos = System.nanoTime();
    if (nowNanos - observedAtNanos > TICK_MILLIS * NANOS_PER_MILLI + STALL_NANOS) {
      stalledAtNanos = nowNanos;
    }
    unjudgedNanos += isJudged() ? 0 : nowNanos - observedAtNanos;
    observedAtNanos = nowNanos;
    drainedAtNanos.forEach(
        (id, atNanos) -> {
          long afterNanos = testbed.caches.get(id).lastRequestNanos() - atNanos;
          boolean firstSeen = afterNanos > 0 && judgedRequests.add(id + atNanos + "/" + afterNanos);
          if (firstSeen
              && afterNanos > worstDrainNanos
              && anyHealthyFor(HEALTHY_BEFORE_JUDGING_NANOS)) {
            worstDrainNanos = afterNanos;
          }
          if (firstSeen
              && afterNanos > MAX_DRAIN_NANOS
              && anyHealthyFor(HEALTHY_BEFORE_JUDGING_NANOS)) {
            violation(
                "a GET came to " + id + " " + afterNanos / NANOS_PER_MILLI + " ms after its drain");
          }
        });
  }

  /** A copy from before a purge, for a GET that was sent after the grace. */
  private void responseReceived(LoadGenerator.Response response) {
    Long purgedAt = purgedAtMillis.get(response.object());
    long sentAtMillis =
        System.currentTimeMillis() - (System.nanoTime() - response.sentAtNanos()) / NANOS_PER_MILLI;
    if (purgedAt != null
        && response.issuedAtMillis() < purgedAt
        && sentAtMillis > purgedAt + MAX_PURGE_MILLIS + SOCKET_ALLOWANCE_NANOS / NANOS_PER_MILLI
        && anyHealthyFor(HEALTHY_BEFORE_JUDGING_NANOS)) {
      violation(
          "object "
              + response.object()
              + " from "
              + (purgedAt - response.issuedAtMillis())
              + " ms before its purge was returned "
              + (sentAtMillis - purgedAt)
              + " ms after it");
    }
  }
}
