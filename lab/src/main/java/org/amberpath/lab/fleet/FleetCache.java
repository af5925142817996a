package org.amberpath.lab.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.lab.simulation.VirtualScheduler;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.ResponseDetail;

/**
 * An edge cache, hub or origin of a {@link VirtualFleet}. It runs as many transfers concurrently as
 * its capacity allows, at least one; further transfers wait in a queue without a bound.
 */
public final class FleetCache {
  private static final double MIN_WORK_FACTOR = 0.8;
  private static final double WORK_FACTOR_SPREAD = 0.4;
  private static final long MISS_DELAY_NANOS = Simulation.NANOS_PER_MILLI;
  private static final long PARENT_MISS_DELAY_NANOS = 20 * Simulation.NANOS_PER_MILLI;

  private final VirtualFleet fleet;
  private final VirtualScheduler scheduler;
  private final int index;
  private final String kind;
  private final double capacity;
  private final Set<Long> storedKeys = new HashSet<>();
  private final ArrayDeque<Runnable> waitingTransfers = new ArrayDeque<>();
  private final Map<Long, List<Runnable>> fillsInProgress = new HashMap<>();
  private final ArrayDeque<Long> recentArrivalsNanos = new ArrayDeque<>();
  private boolean hung;
  private boolean down;

  /**
   * When the cache last started with nothing stored; 0 if it has run since the start of the model.
   */
  private long startedAtNanos;

  private long incarnation;
  private double activeTransfers;

  FleetCache(VirtualFleet fleet, int index, String kind, double capacity) {
    this.fleet = fleet;
    scheduler = fleet.scheduler();
    this.index = index;
    this.kind = kind;
    this.capacity = capacity;
  }

  /** Returns the index of this cache in the list of all caches. */
  public int index() {
    return index;
  }

  String kind() {
    return kind;
  }

  double capacity() {
    return capacity;
  }

  boolean isDown() {
    return down;
  }

  long startedAtNanos() {
    return startedAtNanos;
  }

  /** Crashes the cache: it loses its copies and its work in progress, and refuses connections. */
  public void crash() {
    down = true;
    incarnation++;
    storedKeys.clear();
    fillsInProgress.clear();
    waitingTransfers.clear();
    activeTransfers = 0;
  }

  /** Restarts the cache with nothing stored. */
  public void restart() {
    down = false;
    startedAtNanos = scheduler.nowNanos();
  }

  /** Hangs the cache: it accepts requests and answers none. */
  public void hang() {
    hung = true;
  }

  /** Ends a hang; the transfers that were waiting or in progress are lost. */
  public void resume() {
    hung = false;
    waitingTransfers.clear();
    activeTransfers = 0;
    incarnation++;
  }

  void store(long key) {
    storedKeys.add(key);
  }

  private void startTransfer(Runnable completed) {
    long scheduledIncarnation = incarnation;
    Runnable transfer =
        () -> {
          activeTransfers++;
          double workNanos =
              VirtualFleet.WORK_SECONDS
                  * Simulation.NANOS_PER_SECOND
                  * (MIN_WORK_FACTOR + WORK_FACTOR_SPREAD * fleet.random().nextDouble());
          scheduler.scheduleAfter(
              (long) workNanos, () -> endTransfer(scheduledIncarnation, completed));
        };
    if (activeTransfers < Math.max(1, capacity)) {
      transfer.run();
    } else {
      waitingTransfers.add(transfer);
    }
  }

  private void endTransfer(long scheduledIncarnation, Runnable completed) {
    if (incarnation == scheduledIncarnation && !hung) {
      activeTransfers--;
      if (!waitingTransfers.isEmpty()) {
        waitingTransfers.poll().run();
      }
      completed.run();
    }
  }

  void requestReceived(CacheRequest request) {
    if (down) {
      answer(request, AttemptOutcome.CONNECT_FAILED, ResponseDetail.NONE);
      return;
    }
    fleet.requestArrived(this);
    measureWarmUpLoad();
    if (hung) {
      return;
    }
    boolean hit = storedKeys.contains(request.key());
    if (startedAtNanos > 0 && !request.synthetic()) {
      fleet.figures().count(hit ? "cold_hit" : "cold_miss", scheduler.nowNanos());
    }
    if (!hit && request.cachedOnly()) {
      answer(request, AttemptOutcome.NOT_CACHED, ResponseDetail.NONE);
      return;
    }
    long receivedIncarnation = incarnation;
    Runnable respond =
        () ->
            startTransfer(
                () -> {
                  if (incarnation == receivedIncarnation && request.stores()) {
                    storedKeys.add(request.key());
                  }
                  answer(
                      request,
                      AttemptOutcome.SUCCEEDED,
                      hit ? ResponseDetail.HIT : ResponseDetail.FILLED);
                });
    if (hit) {
      respond.run();
    } else {
      scheduler.scheduleAfter(
          MISS_DELAY_NANOS, () -> request.source().fill(request.key(), respond));
    }
  }

  private static void answer(CacheRequest request, AttemptOutcome outcome, ResponseDetail detail) {
    request.gateway().attemptAnswered(request, outcome, detail);
  }

  /**
   * Fills another cache with a part: from a stored copy, or from the origin. Concurrent fills of
   * the same part share one request to the origin.
   */
  private void fill(long key, Runnable filled) {
    if (down || hung) {
      return;
    }
    FleetCache origin = fleet.origin();
    if (storedKeys.contains(key) || this == origin) {
      if (this == origin) {
        fleet.figures().countOriginFill(scheduler.nowNanos());
      }
      startTransfer(filled);
    } else if (fillsInProgress.containsKey(key)) {
      fillsInProgress.get(key).add(filled); // Joins the fill in progress.
    } else {
      List<Runnable> waiters = new ArrayList<>(List.of(filled));
      fillsInProgress.put(key, waiters);
      long startedIncarnation = incarnation;
      scheduler.scheduleAfter(
          PARENT_MISS_DELAY_NANOS,
          () -> origin.fill(key, () -> fillCompleted(key, startedIncarnation, waiters)));
    }
  }

  private void fillCompleted(long key, long startedIncarnation, List<Runnable> waiters) {
    if (incarnation == startedIncarnation) {
      storedKeys.add(key);
      fillsInProgress.remove(key);
      waiters.forEach(Runnable::run);
    }
  }

  /**
   * Records how much load this cache receives from all gateways during its warm-up, against the
   * bound that follows from the settings: the allowed number of requests plus three standard
   * deviations of Poisson arrivals, plus 3.
   */
  private void measureWarmUpLoad() {
    long nowNanos = scheduler.nowNanos();
    recentArrivalsNanos.add(nowNanos);
    long windowNanos = (long) (LabSettings.OVERLOAD_WINDOW_SECONDS * Simulation.NANOS_PER_SECOND);
    while (recentArrivalsNanos.peek() < nowNanos - windowNanos) {
      recentArrivalsNanos.poll();
    }
    double share = warmUpShare(nowNanos);
    if (startedAtNanos > 0 && share < 1) {
      double allowed =
          LabSettings.OVERLOAD_MULTIPLE
              * share
              * capacity
              / VirtualFleet.WORK_SECONDS
              * LabSettings.OVERLOAD_WINDOW_SECONDS;
      fleet
          .figures()
          .recordWarmUpLoad(recentArrivalsNanos.size(), allowed + 3 * Math.sqrt(allowed) + 3);
    }
  }

  private double warmUpShare(long nowNanos) {
    if (startedAtNanos == 0) {
      return 1;
    }
    double share =
        LabSettings.WARM_UP_INITIAL_SHARE
            + (1 - LabSettings.WARM_UP_INITIAL_SHARE)
                * (nowNanos - startedAtNanos)
                / (LabSettings.WARM_UP_SECONDS * Simulation.NANOS_PER_SECOND);
    return Math.min(1, share);
  }
}
