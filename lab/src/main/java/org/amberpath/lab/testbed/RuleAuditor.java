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
 * Judges the rules by what clients, caches and the journal saw, over all gateways together; it
 * knows nothing of the gateways' code. Whatever the event loop reads may have come since its tick
 * before, and is judged by that time: a loop that stalled blames nobody by mistake, and for how
 * long it stalled is counted. Only for the testbed's event loop.
 *
 * <p>Bounds: the requests of one experiment that may run once, and {@value #MAX_VIOLATIONS} lines
 * of what is wrong.
 */
public final class RuleAuditor {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final long SOCKET_ALLOWANCE_NANOS = 50 * NANOS_PER_MILLI;
  private static final long TICK_MILLIS = 5;
  private static final long MAX_DRAIN_NANOS = 250 * NANOS_PER_MILLI + SOCKET_ALLOWANCE_NANOS;
  private static final long MAX_PURGE_MILLIS = 350;
  private static final long STALL_NANOS = 25 * NANOS_PER_MILLI;
  private static final int MAX_VIOLATIONS = 20;

  /** The mean work of a request at the stand-in caches. */
  private static final double MEAN_WORK_SECONDS = 0.01;

  private static final class WarmUpWindow {
    final long startedAtNanos;
    final double weight;

    /** When requests came, of the last second. */
    final ArrayDeque<Long> arrivalsNanos = new ArrayDeque<>();

    WarmUpWindow(long startedAtNanos, double weight) {
      this.startedAtNanos = startedAtNanos;
      this.weight = weight;
    }
  }

  private final Map<String, Long> drainedAtNanos = new HashMap<>();
  private final Map<String, Long> purgedAtMillis = new HashMap<>();
  private final Map<String, WarmUpWindow> warmingUp = new HashMap<>();
  private final Map<String, String> executedOnce = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final long beganNanos = System.nanoTime();
  private long tickNanos = beganNanos;
  private long stalledNanos;
  private long requestCount;
  private long worstDrainNanos;
  private long worstPurgeMillis;
  private long longestStallNanos;
  private long violationCount;
  private double worstWarmUpLoad;

  /** A judge whose stalls are measured from now on. */
  public RuleAuditor(Vertx vertx) {
    vertx.setPeriodic(
        TICK_MILLIS,
        tick -> {
          long nowNanos = System.nanoTime();
          stalledNanos += nowNanos - tickNanos > STALL_NANOS ? nowNanos - tickNanos : 0;
          longestStallNanos = Math.max(longestStallNanos, nowNanos - tickNanos);
          tickNanos = nowNanos;
        });
  }

  /** Keeps what is wrong, up to a bound, and counts it. */
  public void violation(String message) {
    violationCount++;
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add((System.nanoTime() - beganNanos) / NANOS_PER_MILLI + " ms: " + message);
    }
  }

  /** What was wrong, the first lines of it. */
  public List<String> violations() {
    return violations;
  }

  /** The part of the time, 0 to 1, that could not be judged. */
  public double unjudgedShare() {
    return (double) stalledNanos / Math.max(1, System.nanoTime() - beganNanos);
  }

  /** Figures for a report. */
  public Map<String, Object> figures() {
    return Map.of(
        "wants",
        requestCount,
        "last_get_after_drain_ms",
        worstDrainNanos / NANOS_PER_MILLI,
        "oldest_after_purge_ms",
        worstPurgeMillis,
        "cold_part_of_bound",
        Math.round(worstWarmUpLoad * 100) / 100.0,
        "judge_stood_ms",
        stalledNanos / NANOS_PER_MILLI,
        "judge_stood_most_ms",
        longestStallNanos / NANOS_PER_MILLI,
        "wrongs",
        violationCount);
  }

  // ---- What the testbed did.

  /** A cache drains from now on. */
  public void cacheDrained(String cache) {
    drainedAtNanos.put(cache, System.nanoTime());
  }

  /** A cache is ready again. */
  void cacheReady(String cache) {
    drainedAtNanos.remove(cache);
  }

  /** An object is purged. */
  void objectPurged(String object, long atMillis) {
    purgedAtMillis.put(object, atMillis);
  }

  /** A cache has started with nothing stored. */
  public void cacheStartedCold(String cache, double weight) {
    warmingUp.put(cache, new WarmUpWindow(System.nanoTime(), weight));
  }

  // ---- What others saw.

  /** A cache has received a request. */
  public void requestReceived(StandInCache.ReceivedRequest request) {
    requestCount++;
    for (String cache : List.of(request.cache(), request.source())) {
      Long drainedNanos = drainedAtNanos.get(cache);
      if (drainedNanos != null) {
        worstDrainNanos = Math.max(worstDrainNanos, tickNanos - drainedNanos);
        if (tickNanos - drainedNanos > MAX_DRAIN_NANOS) {
          violation(
              "rule 3: "
                  + cache
                  + (cache.equals(request.cache()) ? " got a GET " : " was named as a source ")
                  + (tickNanos - drainedNanos) / NANOS_PER_MILLI
                  + " ms after its drain");
        }
      }
    }
    if (LabSettings.ORDERS.equals(request.trafficClass()) && request.executes()) {
      String previousCache = executedOnce.putIfAbsent(request.request(), request.cache());
      if (previousCache != null) {
        violation(
            "rule 2: "
                + request.request()
                + " ran at "
                + previousCache
                + " and again at "
                + request.cache());
      }
    }
    WarmUpWindow window = warmingUp.get(request.cache());
    if (window != null) {
      checkWarmUp(window, request.cache());
    }
  }

  /**
   * Rule 4, as the platform has it: N + 3 roots of N + 3 requests of mean work in the time that the
   * settings name.
   */
  private void checkWarmUp(WarmUpWindow window, String cache) {
    long nowNanos = System.nanoTime();
    double ageSeconds = (nowNanos - window.startedAtNanos) / 1e9;
    if (ageSeconds > LabSettings.WARM_UP_SECONDS) {
      warmingUp.remove(cache);
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
    worstWarmUpLoad = Math.max(worstWarmUpLoad, window.arrivalsNanos.size() / bound);
    if (window.arrivalsNanos.size() > bound) {
      violation(
          "rule 4: cold "
              + cache
              + " got "
              + window.arrivalsNanos.size()
              + " GETs in its second, and bears "
              + (int) bound);
    }
  }

  /** A client has received a response. */
  public void responseReceived(LoadGenerator.Response response) {
    Long purgedAt = purgedAtMillis.get(response.object());
    long sentAtMillis =
        System.currentTimeMillis() - (System.nanoTime() - response.sentAtNanos()) / NANOS_PER_MILLI;
    if (purgedAt != null && response.issuedAtMillis() < purgedAt && sentAtMillis > purgedAt) {
      worstPurgeMillis = Math.max(worstPurgeMillis, sentAtMillis - purgedAt);
      if (sentAtMillis > purgedAt + MAX_PURGE_MILLIS) {
        violation(
            "rule 5: object "
                + response.object()
                + " from "
                + (purgedAt - response.issuedAtMillis())
                + " ms before its purge, "
                + (sentAtMillis - purgedAt)
                + " ms after it");
      }
    }
  }
}
