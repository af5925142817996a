package org.amberpath.leadership;

import java.util.Map;
import java.util.TreeMap;

/**
 * The task of prefetching recent objects into endpoints that are in slow start. This class limits
 * when requests start and how many are in flight; for each request the router chooses the object
 * and checks that the endpoint has budget for it.
 *
 * <p>Bounds: {@value #MAX_ENDPOINTS} endpoints, {@value #MAX_IN_FLIGHT} requests in flight, {@value
 * #MAX_PER_TICK} started per tick.
 */
public final class CachePrefetch {
  /** The task's name. */
  public static final String TASK = "warm";

  private static final int MAX_ENDPOINTS = 64;
  private static final int MAX_IN_FLIGHT = 8;
  private static final int MAX_PER_TICK = 64;
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long PAUSE_BETWEEN_PASSES_NANOS = 250 * NANOS_PER_MILLI;

  private final Map<String, Long> warmingUpUntilNanos = new TreeMap<>();
  private int inFlight;
  private int startedInTick;
  private long pausedUntilNanos;

  /**
   * Records that an endpoint is in slow start until {@code untilNanos}. While {@value
   * #MAX_ENDPOINTS} others are recorded, the endpoint is ignored.
   */
  public void endpointWarmingUp(long nowNanos, String endpoint, long untilNanos) {
    warmingUpUntilNanos.values().removeIf(until -> until <= nowNanos);
    if (warmingUpUntilNanos.size() < MAX_ENDPOINTS || warmingUpUntilNanos.containsKey(endpoint)) {
      warmingUpUntilNanos.put(endpoint, untilNanos);
    }
  }

  /** Begins a tick: resets the number of requests that were started in the tick. */
  public void tick() {
    startedInTick = 0;
  }

  /**
   * Starts a request if the bounds allow it; it is in flight until {@link #requestEnded} or {@link
   * #passEnded}. Returns whether a request was started.
   */
  public boolean tryStartRequest(long nowNanos) {
    boolean started =
        nowNanos >= pausedUntilNanos
            && startedInTick < MAX_PER_TICK
            && inFlight < MAX_IN_FLIGHT
            && hasWarmingUpEndpoint(nowNanos);
    if (started) {
      startedInTick++;
      inFlight++;
    }
    return started;
  }

  /** Records that a request has ended. */
  public void requestEnded() {
    inFlight--;
  }

  /**
   * Records that the router has gone through all recent objects, so that the request just started
   * was not sent. The next pass begins after a pause.
   */
  public void passEnded(long nowNanos) {
    inFlight--;
    pausedUntilNanos = nowNanos + PAUSE_BETWEEN_PASSES_NANOS;
  }

  /** Returns whether no request is in flight, so that the task may be handed over. */
  public boolean isIdle() {
    return inFlight == 0;
  }

  /** Whether any recorded endpoint is still in slow start. */
  public boolean hasWarmingUpEndpoint(long nowNanos) {
    return warmingUpUntilNanos.values().stream().anyMatch(until -> until > nowNanos);
  }
}
