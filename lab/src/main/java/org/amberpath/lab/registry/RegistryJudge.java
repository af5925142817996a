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
 * Checks the invariants of {@link RegistryExperiment}: the endpoints that the registry view has
 * listed for the gateway, the requests that caches receive after a drain, and the responses that
 * clients receive after a purge. Checks are suspended for 800 ms after an event loop of this
 * process has stalled for more than 25 ms, because the gateway does not cause such a delay. Methods
 * are called on the testbed's event loop unless their comment says otherwise.
 */
final class RegistryJudge {
  /** Id of the cache whose record is overwritten with unreadable bytes at random times. */
  static final String UNREADABLE_CACHE = "spoilt";

  static final long TICK_MILLIS = 5;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long MIN_HEALTHY_NANOS = 1250 * NANOS_PER_MILLI;
  private static final long SOCKET_ALLOWANCE_MILLIS = 50;
  private static final long MAX_DRAIN_NANOS = (250 + SOCKET_ALLOWANCE_MILLIS) * NANOS_PER_MILLI;
  private static final long MAX_PURGE_MILLIS = 300 + SOCKET_ALLOWANCE_MILLIS;
  private static final long STALL_NANOS = 25 * NANOS_PER_MILLI;
  private static final long UNJUDGED_AFTER_STALL_NANOS = 800 * NANOS_PER_MILLI;
  private static final int MAX_VIOLATIONS = 10;
  private static final String CACHES_PREFIX =
      LoopbackTestbed.KEY_PREFIX + RecordCodec.CACHES_PREFIX;

  private final LoopbackTestbed testbed;
  private final List<String> violations = new ArrayList<>();
  private final RecordedEndpointList recordedList =
      new RecordedEndpointList(System::nanoTime, line -> {}, this::violation).allowRepeatedPurges();

  /** The time at which each drained cache's record was written; removed when the cache is ready. */
  private final Map<String, Long> drainedAtNanos = new HashMap<>();

  private final Map<String, Long> purgedAtMillis = new HashMap<>();

  /**
   * Requests received after a drain that have been judged, so that each is judged once. Bounded by
   * the drains of a run and the requests after each.
   */
  private final Set<String> judgedRequests = new HashSet<>();

  private long worstDrainNanos;
  private long observedAtNanos = System.nanoTime();
  private long unjudgedNanos;
  private volatile long stalledAtNanos = System.nanoTime();

  RegistryJudge(LoopbackTestbed testbed) {
    this.testbed = testbed;
  }

  /** The endpoints that the registry view has listed for the gateway. */
  RecordedEndpointList recordedList() {
    return recordedList;
  }

  /** Records a violation; callable from any thread. */
  private synchronized void violation(String message) {
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(message);
    }
  }

  /** The first violations, at most {@value #MAX_VIOLATIONS}; callable from any thread. */
  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  /** Starts judging at a time; stalls before that time are ignored. */
  void start(long sinceNanos) {
    observedAtNanos = sinceNanos;
    stalledAtNanos = sinceNanos - UNJUDGED_AFTER_STALL_NANOS;
    testbed.vertx().setPeriodic(TICK_MILLIS, tick -> observe());
  }

  /** Records a late tick of the gateway's event loop; called on that loop's thread. */
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

  /** Total time for which judging was suspended because of stalls. */
  long unjudgedNanos() {
    return unjudgedNanos;
  }

  private boolean isJudgingActive() {
    return System.nanoTime() - stalledAtNanos > UNJUDGED_AFTER_STALL_NANOS;
  }

  /**
   * Whether the gateway must be up to date: judging is not suspended, and an endpoint has been
   * healthy for long enough.
   */
  private boolean gatewayMustBeCurrent() {
    return isJudgingActive()
        && testbed.registry().endpoints().stream()
            .anyMatch(endpoint -> endpoint.isHealthyFor(MIN_HEALTHY_NANOS));
  }

  /**
   * Detects stalls of this event loop, and reports requests that a drained cache received too long
   * after its drain although the gateway must have known of it. Each request is judged only when it
   * is first observed. Guards against a false violation: a request that the gateway sent while all
   * endpoints failed would otherwise be reported seconds later, once an endpoint has been healthy
   * for long enough again.
   */
  private void observe() {
    long nowNanos = System.nanoTime();
    if (nowNanos - observedAtNanos > TICK_MILLIS * NANOS_PER_MILLI + STALL_NANOS) {
      stalledAtNanos = nowNanos;
    }
    unjudgedNanos += isJudgingActive() ? 0 : nowNanos - observedAtNanos;
    observedAtNanos = nowNanos;
    drainedAtNanos.forEach(this::judgeDrain);
  }

  private void judgeDrain(String cache, long drainedNanos) {
    long afterNanos = testbed.cache(cache).lastRequestNanos() - drainedNanos;
    boolean firstSeen =
        afterNanos > 0 && judgedRequests.add(cache + drainedNanos + "/" + afterNanos);
    if (firstSeen && afterNanos > worstDrainNanos && gatewayMustBeCurrent()) {
      worstDrainNanos = afterNanos;
    }
    if (firstSeen && afterNanos > MAX_DRAIN_NANOS && gatewayMustBeCurrent()) {
      violation(
          "cache "
              + cache
              + " received a GET "
              + afterNanos / NANOS_PER_MILLI
              + " ms after its drain, allowed "
              + MAX_DRAIN_NANOS / NANOS_PER_MILLI
              + " ms");
    }
  }

  /**
   * Reports a response with a copy from before the object's purge if its request was sent more than
   * {@value #MAX_PURGE_MILLIS} ms after the purge.
   */
  void responseReceived(LoadGenerator.Response response) {
    Long purgedAt = purgedAtMillis.get(response.object());
    long sentAtMillis =
        System.currentTimeMillis() - (System.nanoTime() - response.sentAtNanos()) / NANOS_PER_MILLI;
    if (purgedAt != null
        && response.issuedAtMillis() < purgedAt
        && sentAtMillis > purgedAt + MAX_PURGE_MILLIS
        && gatewayMustBeCurrent()) {
      violation(
          "object "
              + response.object()
              + " with a copy issued "
              + (purgedAt - response.issuedAtMillis())
              + " ms before its purge was returned to a request sent "
              + (sentAtMillis - purgedAt)
              + " ms after it");
    }
  }

  /**
   * Compares the endpoints listed for the gateway with the registry's contents. Called at the end
   * of a quiet period.
   */
  void compareViews() {
    Map<String, EndpointState> registryStates = new HashMap<>();
    testbed.registry().entries().keySet().stream()
        .filter(key -> key.startsWith(CACHES_PREFIX))
        .map(key -> key.substring(CACHES_PREFIX.length()))
        .filter(id -> !id.equals(UNREADABLE_CACHE))
        .forEach(
            id ->
                registryStates.put(id, isDrained(id) ? EndpointState.DRAINING : EndpointState.UP));
    Map<String, EndpointState> gatewayStates = recordedList.endpointStates();
    if (!registryStates.equals(gatewayStates)) {
      violation(
          "after the quiet period the registry holds "
              + registryStates
              + " but the gateway's listed endpoints are "
              + gatewayStates);
    }
  }
}
