package org.amberpath.gateway.pipeline;

import io.vertx.core.Vertx;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.routing.AcceptLag;
import org.amberpath.routing.DiscoveryFreshness;
import org.amberpath.routing.LoadShedder;
import org.amberpath.routing.SocketReads;

/**
 * Measures the event loop's lag, for want of CPU or in a pause of the runtime, by a periodic tick
 * that comes late. All values are nanoseconds.
 */
public final class EventLoopLagMonitor {
  private static final long TICK_MILLIS = 10;
  private static final long TICK_NANOS = TICK_MILLIS * 1_000_000;

  /** A tick that is late by no more than this is no lag. */
  private static final long MIN_LAG_NANOS = 5_000_000;

  private final Clock clock;
  private final DiscoveryFreshness discoveryFreshness;
  private final SocketReads socketReads;
  private final LoadShedder loadShedder;
  private final AcceptLag<ClientConnection> acceptLag = new AcceptLag<>();

  /** The time for which the next tick is scheduled. */
  private long nextTickAt = Long.MAX_VALUE;

  /** The time for which the last tick was scheduled, and the time at which it ran. */
  private long lastTickScheduledAt;

  private long lastTickAt;
  private long totalLagNanos;

  /** Whether the last tick was late: what came before it is read only now. */
  private boolean lastTickWasLate;

  EventLoopLagMonitor(
      Clock clock,
      DiscoveryFreshness discoveryFreshness,
      SocketReads socketReads,
      LoadShedder loadShedder) {
    this.clock = clock;
    this.discoveryFreshness = discoveryFreshness;
    this.socketReads = socketReads;
    this.loadShedder = loadShedder;
  }

  /** Starts the tick; returns its timer's id. */
  public long start(Vertx vertx) {
    scheduled(clock.nowNanos());
    return vertx.setPeriodic(TICK_MILLIS, timer -> tick());
  }

  private void scheduled(long tickedAt) {
    lastTickAt = tickedAt;
    nextTickAt = tickedAt + TICK_NANOS;
  }

  private void tick() {
    totalLagNanos = totalLagNanos();
    long lateNanos = clock.nowNanos() - nextTickAt;
    discoveryFreshness.socketsRead(
        lastTickAt); // Between two ticks the loop has read all of its sockets.
    socketReads.socketsRead(lastTickAt);
    acceptLag.turnEnded(clock.nowNanos());
    loadShedder.turnStarted(clock.nowNanos(), Math.max(0, clock.nowNanos() - nextTickAt));
    lastTickWasLate = lateNanos > MIN_LAG_NANOS;
    lastTickScheduledAt = nextTickAt;
    scheduled(clock.nowNanos());
  }

  /**
   * The lag just now; 0 for none. What is read at this moment came at some time within it. It
   * counts up to the tick after the late one, since the sockets are read between the two, however
   * long that takes.
   */
  long currentLagNanos() {
    long lateNanos = clock.nowNanos() - (lastTickWasLate ? lastTickScheduledAt : nextTickAt);
    return lateNanos > MIN_LAG_NANOS ? lateNanos : 0;
  }

  /**
   * The same for what is read now from one client, whose connection may have waited in the accept
   * queue.
   */
  long lagNanos(ClientConnection client, long nowNanos) {
    return Math.max(currentLagNanos(), acceptLag.lagNanos(client, nowNanos));
  }

  /** A client's connection was accepted, after accepting had paused for so many nanoseconds. */
  public void accepted(ClientConnection client, long pausedNanos) {
    acceptLag.connectionAccepted(
        client, clock.nowNanos(), Math.max(currentLagNanos(), pausedNanos));
  }

  /** The sum of all lags up to now, one that has not ended included. */
  long totalLagNanos() {
    long lateNanos = clock.nowNanos() - nextTickAt;
    return lateNanos > MIN_LAG_NANOS ? totalLagNanos + lateNanos : totalLagNanos;
  }
}
