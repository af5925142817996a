package org.amberpath.lab.registry;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.amberpath.lab.LoopbackTestbed;
import org.amberpath.lab.StandInCache;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.runtime.RecordCodec;
import org.amberpath.routing.EndpointState;

/**
 * Writes changes to a stand-in registry and injects faults into its endpoints, at random times
 * derived from a seed. Must be used on the testbed's event loop only.
 */
final class RegistryFaultInjector {
  private static final int CHANGE_KINDS = 8;
  private static final int FAULT_KINDS = 8;
  private static final int OBJECTS = 20;
  private static final int COMPACTED_ONE_IN = 5;
  private static final int MAX_KEPT_REVISIONS = 10;
  private static final int RESTORED_ONE_IN = 3;
  private static final int SIMULTANEOUS_ONE_IN = 4;
  private static final long MIN_CHANGE_MILLIS = 20;
  private static final long MAX_CHANGE_MILLIS = 220;
  private static final long MIN_FAULT_MILLIS = 50;
  private static final long MAX_FAULT_MILLIS = 1200;
  private static final long MAX_FAULT_LENGTH_MILLIS = 1500;
  private static final long MAX_PURGE_DELAY_MILLIS = 1500;
  private static final long MAX_LAG_MILLIS = 400;
  private static final long RESTORE_MILLIS = 1300;

  private final LoopbackTestbed testbed;
  private final RegistryJudge judge;
  private final Vertx vertx;
  private final StandInRegistry registry;
  private final SplittableRandom random;
  private final int edgeCaches;
  private final Set<String> absentCaches = new TreeSet<>();
  private long changeCount;
  private long faultCount;
  private long drainCount;
  private long purgeCount;
  private long restoreCount;
  private boolean active;
  private boolean restoring;

  RegistryFaultInjector(LoopbackTestbed testbed, RegistryJudge judge, int edgeCaches, long seed) {
    this.testbed = testbed;
    this.judge = judge;
    vertx = testbed.vertx();
    registry = testbed.registry();
    random = new SplittableRandom(seed);
    this.edgeCaches = edgeCaches;
  }

  /** Starts writing changes and injecting faults until {@link #stop} is called. */
  void start() {
    active = true;
    change();
    injectFault();
  }

  /** Starts no further change or fault; faults that are active stay until their timer ends. */
  void stop() {
    active = false;
  }

  /** Clears the lag and the fault mode of all endpoints. */
  void heal() {
    registry
        .endpoints()
        .forEach(
            endpoint -> {
              endpoint.setLagMillis(0);
              endpoint.setBehavior(EndpointBehavior.ANSWERS);
            });
  }

  long changeCount() {
    return changeCount;
  }

  long faultCount() {
    return faultCount;
  }

  long drainCount() {
    return drainCount;
  }

  long purgeCount() {
    return purgeCount;
  }

  long restoreCount() {
    return restoreCount;
  }

  private void change() {
    if (!active) {
      return;
    }
    if (!restoring) {
      changeOnce();
    }
    vertx.setTimer(random.nextLong(MIN_CHANGE_MILLIS, MAX_CHANGE_MILLIS), timer -> change());
  }

  /** Whether a cache may be drained or deleted: at least half of the caches must stay ready. */
  private boolean mayRemove(String id) {
    return judge.drainedCount() + absentCaches.size() < edgeCaches / 2 && !judge.isDrained(id);
  }

  private void changeOnce() {
    changeCount++;
    String id = "e" + random.nextInt(edgeCaches);
    switch (random.nextInt(CHANGE_KINDS)) {
      case 0, 1, 2 -> {
        if (mayRemove(id) && !absentCaches.contains(id)) {
          testbed.putCache(id, EndpointState.DRAINING);
          judge.cacheDrained(id);
          drainCount++;
        }
      }
      case 3 -> {
        if (mayRemove(id) && absentCaches.add(id)) {
          testbed.deleteCache(id);
        }
      }
      case 4 -> purge(1L + random.nextInt(OBJECTS));
      case 5 ->
          testbed.write(
              LoopbackTestbed.KEY_PREFIX
                  + RecordCodec.CACHES_PREFIX
                  + RegistryJudge.UNREADABLE_CACHE,
              Optional.of(new byte[] {'{', (byte) random.nextInt(256)}));
      default -> {
        judge.cacheReady(id);
        absentCaches.remove(id);
        testbed.putCache(id, EndpointState.UP);
      }
    }
    if (random.nextInt(COMPACTED_ONE_IN) == 0) {
      registry.compact(random.nextLong(MAX_KEPT_REVISIONS));
    }
  }

  private void purge(long object) {
    purgeCount++;
    long atMillis = System.currentTimeMillis();
    testbed.write(
        LoopbackTestbed.KEY_PREFIX + RecordCodec.PURGES_PREFIX + purgeCount,
        Optional.of(RecordCodec.encode(new RegistryRecord.Purge(object, 0, atMillis))));
    String name = String.format("%016x", object);
    judge.objectPurged(name, atMillis);
    for (StandInCache cache : testbed.caches()) {
      vertx.setTimer(1 + random.nextLong(MAX_PURGE_DELAY_MILLIS), timer -> cache.dropObject(name));
    }
  }

  private void injectFault() {
    if (!active) {
      return;
    }
    List<StandInEndpoint> endpoints = registry.endpoints();
    StandInEndpoint endpoint = endpoints.get(random.nextInt(endpoints.size()));
    if (!restoring) {
      faultCount++;
      switch (random.nextInt(FAULT_KINDS)) {
        case 0 -> endpoint.breakConnections();
        case 1 -> endpoint.endWatches();
        case 2, 3 -> makeUnavailable(endpoint, EndpointBehavior.SILENT);
        case 4 -> makeUnavailable(endpoint, EndpointBehavior.REFUSES);
        case 5 -> makeUnavailable(endpoint, EndpointBehavior.UNAVAILABLE);
        case 6 -> endpoint.setLagMillis(random.nextLong(MAX_LAG_MILLIS));
        default -> {
          if (random.nextInt(RESTORED_ONE_IN) == 0) {
            restoreFromBackup();
          }
        }
      }
      vertx.setTimer(
          1 + random.nextLong(MAX_FAULT_LENGTH_MILLIS), timer -> endpoint.setLagMillis(0));
    }
    vertx.setTimer(
        random.nextInt(SIMULTANEOUS_ONE_IN) == 0
            ? 1
            : random.nextLong(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS),
        timer -> injectFault());
  }

  private void makeUnavailable(StandInEndpoint endpoint, EndpointBehavior behavior) {
    endpoint.setBehavior(behavior);
    vertx.setTimer(
        1 + random.nextLong(MAX_FAULT_LENGTH_MILLIS),
        timer -> {
          if (!restoring) {
            endpoint.setBehavior(EndpointBehavior.ANSWERS);
          }
        });
  }

  /**
   * Makes a backup, has all endpoints refuse connections, and restores the backup under another
   * cluster id before the endpoints answer again.
   */
  private void restoreFromBackup() {
    restoring = true;
    restoreCount++;
    Runnable restore = registry.backupAs("10" + (1 + restoreCount));
    setAll(EndpointBehavior.REFUSES);
    vertx.setTimer(
        RESTORE_MILLIS,
        timer -> {
          restore.run();
          restoring = false;
          judge.recordedList().historyReplaced();
          setAll(EndpointBehavior.ANSWERS);
        });
  }

  private void setAll(EndpointBehavior behavior) {
    registry.endpoints().forEach(endpoint -> endpoint.setBehavior(behavior));
  }
}
