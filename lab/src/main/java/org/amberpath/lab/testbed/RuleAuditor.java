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
 * knows nothing of the gateways' code. Whatever is read by this rig's loop may have come since the
 * loop's tick before, and is judged by that time: a loop that stood still blames nobody by mistake,
 * and for how long it stood is counted. Only for the rig's event loop.
 *
 * <p>Bounds: the requests of one experiment that may run once, and {@value #MOST_LINES} lines of
 * what is wrong.
 */
public final class RuleAuditor {
  private static final long MS = 1_000_000, SECOND = 1000 * MS, ON_SOCKETS = 50 * MS, TICK_MS = 5;
  private static final long DRAIN = 250 * MS + ON_SOCKETS, PURGE_MS = 350, STALL = 25 * MS;
  private static final int MOST_LINES = 20;

  /** The mean work of a GET at the stand-in caches, in seconds. */
  private static final double WORK_S = 0.01;

  private static final class Cold {
    final long at;
    final double weight;

    /** When wants came, of the last second. */
    final ArrayDeque<Long> came = new ArrayDeque<>();

    Cold(long at, double weight) {
      this.at = at;
      this.weight = weight;
    }
  }

  private final Map<String, Long> drainedAt = new HashMap<>(), purgedAtMs = new HashMap<>();
  private final Map<String, Cold> cold = new HashMap<>();
  private final Map<String, String> once = new HashMap<>();
  private final List<String> wrong = new ArrayList<>();
  private final long began = System.nanoTime();
  private long tickAt = began, stood, wants, worstDrain, worstPurgeMs, most, wrongs;
  private double worstCold;

  public RuleAuditor(Vertx vertx) {
    vertx.setPeriodic(
        TICK_MS,
        tick -> {
          long now = System.nanoTime();
          stood += now - tickAt > STALL ? now - tickAt : 0;
          most = Math.max(most, now - tickAt);
          tickAt = now;
        });
  }

  public void wrong(String what) {
    wrongs++;
    if (wrong.size() < MOST_LINES) {
      wrong.add((System.nanoTime() - began) / MS + " ms: " + what);
    }
  }

  public List<String> wrongs() {
    return wrong;
  }

  /** The part of the time, 0 to 1, that could not be judged. */
  public double unjudged() {
    return (double) stood / Math.max(1, System.nanoTime() - began);
  }

  /** Figures for a report. */
  public Map<String, Object> figures() {
    return Map.of(
        "wants",
        wants,
        "last_get_after_drain_ms",
        worstDrain / MS,
        "oldest_after_purge_ms",
        worstPurgeMs,
        "cold_part_of_bound",
        Math.round(worstCold * 100) / 100.0,
        "judge_stood_ms",
        stood / MS,
        "judge_stood_most_ms",
        most / MS,
        "wrongs",
        wrongs);
  }

  // ---- What the rig did.

  public void drained(String cache) {
    drainedAt.put(cache, System.nanoTime());
  }

  void ready(String cache) {
    drainedAt.remove(cache);
  }

  void purged(String object, long atMs) {
    purgedAtMs.put(object, atMs);
  }

  public void startedCold(String cache, double weight) {
    cold.put(cache, new Cold(System.nanoTime(), weight));
  }

  // ---- What others saw.

  public void wanted(StandInCache.Wanted want) {
    wants++;
    for (String cache : List.of(want.cache(), want.source())) {
      Long at = drainedAt.get(cache);
      if (at != null) {
        worstDrain = Math.max(worstDrain, tickAt - at);
        if (tickAt - at > DRAIN) {
          wrong(
              "rule 3: "
                  + cache
                  + (cache.equals(want.cache()) ? " got a GET " : " was named as a source ")
                  + (tickAt - at) / MS
                  + " ms after its drain");
        }
      }
    }
    if (LabSettings.ORDERS.equals(want.service()) && want.runs()) {
      String before = once.putIfAbsent(want.request(), want.cache());
      if (before != null) {
        wrong("rule 2: " + want.request() + " ran at " + before + " and again at " + want.cache());
      }
    }
    Cold one = cold.get(want.cache());
    if (one != null) {
      cold(one, want.cache());
    }
  }

  /**
   * Rule 4, as the platform has it: N + 3 roots of N + 3 requests of mean work in the time that the
   * settings name.
   */
  private void cold(Cold one, String cache) {
    long now = System.nanoTime();
    double age = (now - one.at) / 1e9;
    if (age > LabSettings.COLD_S) {
      cold.remove(cache);
      return;
    }
    one.came.add(now);
    while (now - one.came.peek() > LabSettings.FALL_S * SECOND) {
      one.came.remove();
    }
    double ramp = LabSettings.COLD_SHARE + (1 - LabSettings.COLD_SHARE) * age / LabSettings.COLD_S;
    double allowed = LabSettings.FALL_MULTIPLE * ramp * one.weight * LabSettings.FALL_S / WORK_S;
    double bound = allowed + 3 * Math.sqrt(allowed) + 3;
    worstCold = Math.max(worstCold, one.came.size() / bound);
    if (one.came.size() > bound) {
      wrong(
          "rule 4: cold "
              + cache
              + " got "
              + one.came.size()
              + " GETs in its second, and bears "
              + (int) bound);
    }
  }

  public void returned(LoadGenerator.Returned got) {
    Long purged = purgedAtMs.get(got.object());
    long sentMs = System.currentTimeMillis() - (System.nanoTime() - got.sentAt()) / MS;
    if (purged != null && got.issuedMs() < purged && sentMs > purged) {
      worstPurgeMs = Math.max(worstPurgeMs, sentMs - purged);
      if (sentMs > purged + PURGE_MS) {
        wrong(
            "rule 5: object "
                + got.object()
                + " from "
                + (purged - got.issuedMs())
                + " ms before its purge, "
                + (sentMs - purged)
                + " ms after it");
      }
    }
  }
}
