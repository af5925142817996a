package org.amberpath.lab.testbed;

import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.LoadGenerator;
import org.amberpath.lab.StandInCache;

/**
 * Checks the service rules from what clients, caches and the journal observe, over all gateways
 * together and without any knowledge of the gateways' code. An event that this event loop handles
 * may have arrived at any time since the loop's previous tick, so it is judged by the time of that
 * tick: a stall of the loop never causes a false violation. The total duration of stalls is
 * measured. Confined to the testbed's event loop.
 *
 * <p>Bounds: the requests of one experiment that may execute only once, and {@value
 * #MAX_VIOLATIONS} messages of violations.
 */
public final class RuleAuditor {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final long SOCKET_ALLOWANCE_NANOS = 50 * NANOS_PER_MILLI;
  private static final long TICK_MILLIS = 5;
  private static final long MAX_AFTER_DRAIN_NANOS = 250 * NANOS_PER_MILLI + SOCKET_ALLOWANCE_NANOS;
  private static final long MAX_AFTER_PURGE_MILLIS = 350;
  private static final long MIN_STALL_NANOS = 25 * NANOS_PER_MILLI;
  private static final int MAX_VIOLATIONS = 20;

  /** The mean duration of a request at the stand-in caches, in seconds. */
  private static final double MEAN_WORK_SECONDS = 0.01;

  private static final class WarmUpWindow {
    final long startedAtNanos;
    final double weight;

    /** When the requests of the last window arrived ({@link System#nanoTime}). */
    final ArrayDeque<Long> arrivalsNanos = new ArrayDeque<>();

    WarmUpWindow(long startedAtNanos, double weight) {
      this.startedAtNanos = startedAtNanos;
      this.weight = weight;
    }
  }

  private final Map<String, Long> drainedAtNanos = new HashMap<>();
  private final Map<String, Long> purgedAtMillis = new HashMap<>();
  private final Map<String, WarmUpWindow> warmUpWindows = new HashMap<>();
  private final Map<String, String> executingCaches = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final long startedAtNanos = System.nanoTime();
  private long lastTickNanos = startedAtNanos;
  private long stalledNanos;
  private long requestCount;
  private long latestAfterDrainNanos;
  private long latestAfterPurgeMillis;
  private long longestStallNanos;
  private long violationCount;
  private double peakWarmUpLoad;

  /** Creates an auditor and starts the timer that measures stalls of the event loop. */
  public RuleAuditor(Vertx vertx) {
    vertx.setPeriodic(
        TICK_MILLIS,
        tick -> {
          long nowNanos = System.nanoTime();
          stalledNanos += nowNanos - lastTickNanos > MIN_STALL_NANOS ? nowNanos - lastTickNanos : 0;
          longestStallNanos = Math.max(longestStallNanos, nowNanos - lastTickNanos);
          lastTickNanos = nowNanos;
        });
  }

  /**
   * Counts a violation, and keeps its message with the time since the start if fewer than {@value
   * #MAX_VIOLATIONS} are kept.
   */
  public void recordViolation(String message) {
    violationCount++;
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add((System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI + " ms: " + message);
    }
  }

  /** Returns the messages of the first violations. */
  public List<String> violations() {
    return violations;
  }

  /**
   * Returns the fraction of the time, from 0 to 1, in which the event loop was stalled and no rule
   * could be checked reliably.
   */
  public double unjudgedShare() {
    return (double) stalledNanos / Math.max(1, System.nanoTime() - startedAtNanos);
  }

  /** Returns the figures for a report by name. */
  public Map<String, Object> figures() {
    return Map.of(
        "wants",
        requestCount,
        "last_get_after_drain_ms",
        latestAfterDrainNanos / NANOS_PER_MILLI,
        "oldest_after_purge_ms",
        latestAfterPurgeMillis,
        "cold_part_of_bound",
        Math.round(peakWarmUpLoad * 100) / 100.0,
        "judge_stood_ms",
        stalledNanos / NANOS_PER_MILLI,
        "judge_stood_most_ms",
        longestStallNanos / NANOS_PER_MILLI,
        "wrongs",
        violationCount);
  }

  // ---- Actions of the testbed.

  /** Called when the journal has announced that a cache drains. */
  public void cacheDrained(String cache) {
    drainedAtNanos.put(cache, System.nanoTime());
  }

  /** Called before the journal announces that a drained cache is ready again. */
  void cacheReady(String cache) {
    drainedAtNanos.remove(cache);
  }

  /**
   * Called when an object is purged.
   *
   * @param atMillis the timestamp of the purge (Unix time)
   */
  void objectPurged(String object, long atMillis) {
    purgedAtMillis.put(object, atMillis);
  }

  /**
   * Called when a cache has started with nothing stored.
   *
   * @param weight the weight of the cache, as announced in the journal
   */
  public void cacheStartedCold(String cache, double weight) {
    warmUpWindows.put(cache, new WarmUpWindow(System.nanoTime(), weight));
  }

  // ---- Observations of caches and clients.

  /**
   * Called when a cache has received a request; checks the rules on drained caches, on requests
   * that may execute only once, and on the load of caches that warm up.
   */
  public void requestReceived(StandInCache.ReceivedRequest request) {
    requestCount++;
    for (String cache : List.of(request.cacheId(), request.sourceId())) {
      Long drainedNanos = drainedAtNanos.get(cache);
      if (drainedNanos != null) {
        latestAfterDrainNanos = Math.max(latestAfterDrainNanos, lastTickNanos - drainedNanos);
        if (lastTickNanos - drainedNanos > MAX_AFTER_DRAIN_NANOS) {
          recordViolation(
              "rule 3: "
                  + cache
                  + (cache.equals(request.cacheId())
                      ? " received a request "
                      : " was named as a fill source ")
                  + (lastTickNanos - drainedNanos) / NANOS_PER_MILLI
                  + " ms after its drain; the limit is "
                  + MAX_AFTER_DRAIN_NANOS / NANOS_PER_MILLI
                  + " ms");
        }
      }
    }
    if (LabSettings.ORDERS.equals(request.trafficClass()) && request.executes()) {
      String previousCache = executingCaches.putIfAbsent(request.requestId(), request.cacheId());
      if (previousCache != null) {
        recordViolation(
            "rule 2: request "
                + request.requestId()
                + " was executed at "
                + previousCache
                + " and again at "
                + request.cacheId()
                + "; at most one execution is allowed");
      }
    }
    WarmUpWindow window = warmUpWindows.get(request.cacheId());
    if (window != null) {
      checkWarmUp(window, request.cacheId());
    }
  }

  /**
   * Checks rule 4, the load of a cache that warms up, with the bound that the platform defines: N +
   * 3 square roots of N + 3 requests of mean work within the window that the settings name, where N
   * is the allowed number.
   */
  private void checkWarmUp(WarmUpWindow window, String cache) {
    long nowNanos = System.nanoTime();
    double ageSeconds = (nowNanos - window.startedAtNanos) / 1e9;
    if (ageSeconds > LabSettings.WARM_UP_SECONDS) {
      warmUpWindows.remove(cache);
      return;
    }
    window.arrivalsNanos.add(nowNanos);
    while (nowNanos - window.arrivalsNanos.peek()
        > LabSettings.OVERLOAD_WINDOW_SECONDS * NANOS_PER_SECOND) {
      window.arrivalsNanos.remove();
    }
    double warmUpShare =
        LabSettings.WARM_UP_INITIAL_SHARE
            + (1 - LabSettings.WARM_UP_INITIAL_SHARE) * ageSeconds / LabSettings.WARM_UP_SECONDS;
    double allowed =
        LabSettings.OVERLOAD_MULTIPLE
            * warmUpShare
            * window.weight
            * LabSettings.OVERLOAD_WINDOW_SECONDS
            / MEAN_WORK_SECONDS;
    double bound = allowed + 3 * Math.sqrt(allowed) + 3;
    peakWarmUpLoad = Math.max(peakWarmUpLoad, window.arrivalsNanos.size() / bound);
    if (window.arrivalsNanos.size() > bound) {
      recordViolation(
          "rule 4: warming-up cache "
              + cache
              + " received "
              + window.arrivalsNanos.size()
              + " requests within "
              + LabSettings.OVERLOAD_WINDOW_SECONDS
              + " s; the limit is "
              + (int) bound);
    }
  }

  /**
   * Called when a client has received a response; checks that it is not a copy from before a purge
   * which the gateway must have known when the request was sent.
   */
  public void responseReceived(LoadGenerator.Response response) {
    Long purgedAt = purgedAtMillis.get(response.object());
    long sentAtMillis =
        System.currentTimeMillis() - (System.nanoTime() - response.sentAtNanos()) / NANOS_PER_MILLI;
    if (purgedAt != null && response.issuedAtMillis() < purgedAt && sentAtMillis > purgedAt) {
      latestAfterPurgeMillis = Math.max(latestAfterPurgeMillis, sentAtMillis - purgedAt);
      if (sentAtMillis > purgedAt + MAX_AFTER_PURGE_MILLIS) {
        recordViolation(
            "rule 5: object "
                + response.object()
                + " was returned as a copy issued "
                + (purgedAt - response.issuedAtMillis())
                + " ms before its purge, to a request sent "
                + (sentAtMillis - purgedAt)
                + " ms after the purge; the limit is "
                + MAX_AFTER_PURGE_MILLIS
                + " ms");
      }
    }
  }
}
