package org.amberpath.leadership;

import java.util.Map;
import java.util.TreeMap;

/**
 * The task of prefetching recent objects into endpoints that are warming up: when, and how many
 * requests at a time. Which objects, and whether an endpoint has budget for one, the router decides
 * for each request.
 *
 * <p>Bounds: {@value #MAX_ENDPOINTS} endpoints, {@value #MAX_IN_FLIGHT} requests in flight, {@value
 * #MAX_PER_TICK} started a tick.
 */
public final class CachePrefetch {
  /** The task's name. */
  public static final String TASK = "warm";

  private static final int MAX_ENDPOINTS = 64;
  private static final int MAX_IN_FLIGHT = 8;
  private static final int MAX_PER_TICK = 64;
  private static final long MS = 1_000_000;
  private static final long PAUSE_BETWEEN_PASSES_NANOS = 250 * MS;

  private final Map<String, Long> warmingUpUntilNanos = new TreeMap<>();
  private int inFlight;
  private int startedInTick;
  private long pausedUntilNanos;

  /** An endpoint is in slow start until a time. */
  public void endpointWarmingUp(long nowNanos, String endpoint, long untilNanos) {
    warmingUpUntilNanos.values().removeIf(until -> until <= nowNanos);
    if (warmingUpUntilNanos.size() < MAX_ENDPOINTS || warmingUpUntilNanos.containsKey(endpoint)) {
      warmingUpUntilNanos.put(endpoint, untilNanos);
    }
  }

  /** Begins a tick: as many requests as one tick allows may be started. */
  public void tick() {
    startedInTick = 0;
  }

  /** Whether one more request is to be made now; it is in flight until {@link #requestEnded}. */
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

  /** A request has ended. */
  public void requestEnded() {
    inFlight--;
  }

  /** All recent objects have had their turn, and no request was made; the next pass is later. */
  public void passEnded(long nowNanos) {
    inFlight--;
    pausedUntilNanos = nowNanos + PAUSE_BETWEEN_PASSES_NANOS;
  }

  /** Whether no request is in flight: the task may be handed over. */
  public boolean isIdle() {
    return inFlight == 0;
  }

  /** Whether any endpoint is known to be warming up. */
  public boolean hasWarmingUpEndpoint(long nowNanos) {
    return warmingUpUntilNanos.values().stream().anyMatch(until -> until > nowNanos);
  }
}
