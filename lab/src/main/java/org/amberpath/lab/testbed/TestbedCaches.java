package org.amberpath.lab.testbed;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.StandInCache;
import org.amberpath.routing.EndpointState;

/**
 * The stand-in caches of a {@link ProcessTestbed} and their announcement in the journal. Confined
 * to the testbed's event loop.
 */
final class TestbedCaches {
  private static final int EDGE_CACHE_COUNT = 8;
  private static final int OBJECT_COUNT = 64;
  private static final double EDGE_WEIGHT = 0.5;
  private static final double OTHER_WEIGHT = 10;
  private static final long HIT_MILLIS = 2;
  private static final long EDGE_FILL_MILLIS = 8;
  private static final long HUB_FILL_MILLIS = 10;
  private static final long ORIGIN_RESPONSE_MILLIS = 10;
  private static final long RESTART_DELAY_MILLIS = 50;
  private static final long MAX_PURGE_DELAY_MILLIS = 1500;
  private static final int CHANGE_KINDS = 4;

  private final Vertx vertx;
  private final StandInJournal journal;
  private final RuleAuditor auditor;
  private final SplittableRandom random;
  private final Map<String, StandInCache> caches = new LinkedHashMap<>();
  private final Map<String, EndpointState> states = new LinkedHashMap<>();

  TestbedCaches(Vertx vertx, StandInJournal journal, RuleAuditor auditor, SplittableRandom random) {
    this.vertx = vertx;
    this.journal = journal;
    this.auditor = auditor;
    this.random = random;
  }

  /** Makes all caches listen. */
  Future<?> listen() {
    List<Future<?>> listening = new ArrayList<>();
    for (int index = 0; index < EDGE_CACHE_COUNT; index++) {
      listening.add(listen("e" + index, HIT_MILLIS, EDGE_FILL_MILLIS));
    }
    listening.add(listen("h0", HIT_MILLIS, HUB_FILL_MILLIS));
    listening.add(listen("o0", ORIGIN_RESPONSE_MILLIS, 0));
    return Future.all(listening);
  }

  private Future<?> listen(String id, long hitMillis, long fillMillis) {
    StandInCache cache =
        new StandInCache(vertx, id, hitMillis, fillMillis, caches::get)
            .withListener(auditor::requestReceived);
    caches.put(id, cache);
    return cache.listen();
  }

  /** Announces all caches as ready. */
  void announceAll() {
    caches.keySet().forEach(id -> announce(id, EndpointState.UP, 0));
  }

  private void announce(String id, EndpointState state, long startedAtMillis) {
    states.put(id, state);
    boolean isEdge = id.startsWith("e");
    String otherKind = id.startsWith("h") ? LabSettings.HUB : LabSettings.ORIGIN;
    journal.announceCaches(
        StandInJournal.ListScope.CHANGES,
        List.of(
            new StandInJournal.Instance(
                id,
                caches.get(id).address(),
                isEdge ? LabSettings.EDGE : otherKind,
                isEdge ? EDGE_WEIGHT : OTHER_WEIGHT,
                state,
                startedAtMillis)));
  }

  StandInCache cache(String id) {
    return caches.get(id);
  }

  /**
   * Makes one random change: an edge cache is drained, made ready again or restarted, or an object
   * is purged. Does nothing if the drawn cache does not admit the drawn change.
   */
  void makeRandomChange() {
    String id = "e" + random.nextInt(EDGE_CACHE_COUNT);
    switch (random.nextInt(CHANGE_KINDS)) {
      case 0 -> {
        if (mayLeave(id)) {
          announce(id, EndpointState.DRAINING, 0);
          auditor.cacheDrained(id);
        }
      }
      case 1 -> {
        if (states.get(id) == EndpointState.DRAINING) {
          auditor.cacheReady(id);
          announce(id, EndpointState.UP, 0);
        }
      }
      case 2 -> {
        if (mayLeave(id)) {
          restart(id);
        }
      }
      default -> purge(String.format("%016x", 1 + random.nextInt(OBJECT_COUNT)));
    }
  }

  /**
   * Returns whether an edge cache may leave: it is ready, and more than half of all edge caches
   * are.
   */
  private boolean mayLeave(String id) {
    long up =
        states.entrySet().stream()
            .filter(entry -> entry.getKey().startsWith("e") && entry.getValue() == EndpointState.UP)
            .count();
    return states.get(id) == EndpointState.UP && up > EDGE_CACHE_COUNT / 2;
  }

  private void restart(String id) {
    announce(id, EndpointState.GONE, 0);
    caches.get(id).close();
    vertx.setTimer(
        RESTART_DELAY_MILLIS,
        timer ->
            caches
                .get(id)
                .listen()
                .onSuccess(
                    listening -> {
                      announce(id, EndpointState.UP, System.currentTimeMillis());
                      auditor.cacheStartedCold(id, EDGE_WEIGHT);
                    }));
  }

  private void purge(String object) {
    long atMillis = System.currentTimeMillis();
    journal.announcePurge(object, atMillis);
    auditor.objectPurged(object, atMillis);
    for (StandInCache cache : caches.values()) {
      vertx.setTimer(
          1 + random.nextLong(MAX_PURGE_DELAY_MILLIS), timer -> cache.dropObject(object));
    }
  }
}
