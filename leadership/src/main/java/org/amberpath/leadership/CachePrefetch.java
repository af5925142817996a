package org.amberpath.leadership;

import java.util.Map;
import java.util.TreeMap;

/**
 * The task of filling what viewers will ask for into caches that have just started: when, and how
 * many at a time. Which, and whether a cache bears it, the gateway's decisions say for each.
 *
 * <p>Bounds: {@value #MOST} caches that are cold at a time, {@value #MOST_OUT} GETs out, {@value
 * #A_TICK} asks a tick.
 */
public final class CachePrefetch {
  public static final String TASK = "warm";
  private static final int MOST = 64, MOST_OUT = 8, A_TICK = 64;
  private static final long MS = 1_000_000, REST = 250 * MS;

  private final Map<String, Long> coldUntil = new TreeMap<>();
  private int out, asked;
  private long restUntil;

  /** A cache has just started, and bears less than all until this time. */
  public void endpointWarmingUp(long now, String cache, long until) {
    coldUntil.values().removeIf(one -> one <= now);
    if (coldUntil.size() < MOST || coldUntil.containsKey(cache)) {
      coldUntil.put(cache, until);
    }
  }

  /** So many more may be asked for before the next tick. */
  public void tick() {
    asked = 0;
  }

  /** Whether one more is to be asked for now; it counts as out until {@link #requestEnded}. */
  public boolean tryStartRequest(long now) {
    boolean may =
        now >= restUntil
            && asked < A_TICK
            && out < MOST_OUT
            && coldUntil.values().stream().anyMatch(until -> until > now);
    if (may) {
      asked++;
      out++;
    }
    return may;
  }

  public void requestEnded() {
    out--;
  }

  /** There was nothing left to ask for: all is gone through again after a rest. */
  public void passEnded(long now) {
    out--;
    restUntil = now + REST;
  }

  /** Whether nothing is out: the task may be handed over. */
  public boolean isIdle() {
    return out == 0;
  }

  /** Whether any cache is known to be cold. */
  public boolean hasWarmingUpEndpoint(long now) {
    return coldUntil.values().stream().anyMatch(until -> until > now);
  }
}
