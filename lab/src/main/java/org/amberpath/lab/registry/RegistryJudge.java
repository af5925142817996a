package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amberpath.lab.LoadGenerator;
import org.amberpath.lab.LoopbackTestbed;
import org.amberpath.registry.runtime.RecordCodec;
import org.amberpath.routing.EndpointState;

/**
 * Judges what a gateway was told by a registry's view, and what caches and clients saw. Nothing is
 * judged for a while after an event loop of this process has stalled, since that is no fault of the
 * gateway's. For the testbed's event loop, unless a method says otherwise.
 */
final class RegistryJudge {
  /** What is written now and then and can't be read. */
  static final String SPOILT_CACHE = "spoilt";

  static final long TICK_MILLIS = 5;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long HEALTHY_BEFORE_JUDGING_NANOS = 1250 * NANOS_PER_MILLI;
  private static final long SOCKET_ALLOWANCE_MILLIS = 50;
  private static final long MAX_DRAIN_NANOS = (250 + SOCKET_ALLOWANCE_MILLIS) * NANOS_PER_MILLI;
  private static final long MAX_PURGE_MILLIS = 300 + SOCKET_ALLOWANCE_MILLIS;
  private static final long STALL_NANOS = 25 * NANOS_PER_MILLI;
  private static final long UNJUDGED_AFTER_STALL_NANOS = 800 * NANOS_PER_MILLI;
  private static final int MAX_VIOLATIONS = 10;
  private static final String CACHES_PREFIX = LoopbackTestbed.PREFIX + RecordCodec.CACHES_PREFIX;

  private final LoopbackTestbed testbed;
  private final List<String> violations = new ArrayList<>();
  private final RecordedEndpointList recordedList =
      new RecordedEndpointList(System::nanoTime, line -> {}, this::violation).allowRepeatedPurges();

  /** Of each drained cache, when that was written; forgotten when it is ready again. */
  private final Map<String, Long> drainedAtNanos = new HashMap<>();

  private final Map<String, Long> purgedAtMillis = new HashMap<>();

  /**
   * Late requests, each judged once: bounded by the drains of a run and the requests after each.
   */
  private final Set<String> judgedRequests = new HashSet<>();

  private long worstDrainNanos;
  private long observedAtNanos = System.nanoTime();
  private long unjudgedNanos;
  private volatile long stalledAtNanos = System.nanoTime();

  RegistryJudge(LoopbackTestbed testbed) {
    this.testbed = testbed;
  }

  /** What the gateway was told. */
  RecordedEndpointList recordedList() {
    return recordedList;
  }

  /** For any thread. */
  private synchronized void violation(String message) {
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(message);
    }
  }

  /** What was wrong, the first lines of it. */
  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  /** Judges from a time on; what came before counts as no stall. */
  void start(long sinceNanos) {
    observedAtNanos = sinceNanos;
    stalledAtNanos = sinceNanos - UNJUDGED_AFTER_STALL_NANOS;
    testbed.vertx().setPeriodic(TICK_MILLIS, tick -> observe());
  }

  /** A tick of the gateway's event loop was late; for that loop's thread. */
  void gatewayLoopLate(long lateNanos) {
    if (lateNanos > STALL_NANOS) {
      stalledAtNanos = System.nanoTime();
    }
  }

  boolean isDrained(String cache) {
    return drainedAtNanos.containsKey(cache);
  }

  int drainedCount() {
    return drainedAtNanos.size();
  }

  void cacheDrained(String cache) {
    drainedAtNanos.put(cache, System.nanoTime());
  }

  void cacheReady(String cache) {
    drainedAtNanos.remove(cache);
  }

  void objectPurged(String object, long atMillis) {
    purgedAtMillis.put(object, atMillis);
  }

  long worstDrainMillis() {
    return worstDrainNanos / NANOS_PER_MILLI;
  }

  /** For how long nothing was judged. */
  long unjudgedNanos() {
    return unjudgedNanos;
  }

  private boolean isJudged() {
    return System.nanoTime() - stalledAtNanos > UNJUDGED_AFTER_STALL_NANOS;
  }

  /** Whether the gateway must know what the registry holds. */
  private boolean mustKnow() {
    return isJudged()
        && testbed.registry().endpoints().stream()
            .anyMatch(endpoint -> endpoint.isHealthyFor(HEALTHY_BEFORE_JUDGING_NANOS));
  }

  /**
   * Looks for requests that came to a drained cache too late, while the drain could be known. Each
   * is judged when it is first seen: guards against one that is blamed seconds later, when an
   * endpoint has been healthy for long again.
   */
  private void observe() {
    long nowNanos = System.nanoTime();
    if (nowNanos - observedAtNanos > TICK_MILLIS * NANOS_PER_MILLI + STALL_NANOS) {
      stalledAtNanos = nowNanos;
    }
    unjudgedNanos += isJudged() ? 0 : nowNanos - observedAtNanos;
    observedAtNanos = nowNanos;
    drainedAtNanos.forEach(this::judgeDrain);
  }

  private void judgeDrain(String cache, long drainedNanos) {
    long afterNanos = testbed.cache(cache).lastRequestNanos() - drainedNanos;
    boolean firstSeen =
        afterNanos > 0 && judgedRequests.add(cache + drainedNanos + "/" + afterNanos);
    if (firstSeen && afterNanos > worstDrainNanos && mustKnow()) {
      worstDrainNanos = afterNanos;
    }
    if (firstSeen && afterNanos > MAX_DRAIN_NANOS && mustKnow()) {
      violation(
          "a GET came to " + cache + " " + afterNanos / NANOS_PER_MILLI + " ms after its drain");
    }
  }

  /** Judges a copy from before a purge, for a request that was sent after the grace. */
  void responseReceived(LoadGenerator.Response response) {
    Long purgedAt = purgedAtMillis.get(response.object());
    long sentAtMillis =
        System.currentTimeMillis() - (System.nanoTime() - response.sentAtNanos()) / NANOS_PER_MILLI;
    if (purgedAt != null
        && response.issuedAtMillis() < purgedAt
        && sentAtMillis > purgedAt + MAX_PURGE_MILLIS
        && mustKnow()) {
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

  /** Holds what the gateway was told against the registry, which has been quiet for a while. */
  void compareViews() {
    Map<String, EndpointState> registryStates = new HashMap<>();
    testbed.registry().entries().keySet().stream()
        .filter(key -> key.startsWith(CACHES_PREFIX))
        .map(key -> key.substring(CACHES_PREFIX.length()))
        .filter(id -> !id.equals(SPOILT_CACHE))
        .forEach(
            id ->
                registryStates.put(id, isDrained(id) ? EndpointState.DRAINING : EndpointState.UP));
    Map<String, EndpointState> gatewayStates = recordedList.endpointStates();
    if (!registryStates.equals(gatewayStates)) {
      violation(
          "quiet, the registry holds "
              + registryStates
              + " and the gateway was told "
              + gatewayStates);
    }
  }
}
