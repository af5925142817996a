package org.amberpath.gateway.pipeline;

import io.vertx.core.Vertx;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.routing.AcceptLag;
import org.amberpath.routing.DiscoveryFreshness;
import org.amberpath.routing.LoadShedder;
import org.amberpath.routing.SocketReads;

/**
 * Measures how late the event loop runs for lack of CPU or because of a pause of the Java runtime.
 * A periodic timer ticks every 10 ms; the lag is the time by which a tick is late. All values are
 * nanoseconds.
 */
public final class EventLoopLagMonitor {
  private static final long TICK_MILLIS = 10;
  private static final long TICK_NANOS = TICK_MILLIS * 1_000_000;

  /** A tick that is late by no more than this does not count as lag. */
  private static final long MIN_LAG_NANOS = 5_000_000;

  private final Clock clock;
  private final DiscoveryFreshness discoveryFreshness;
  private final SocketReads socketReads;
  private final LoadShedder loadShedder;
  private final AcceptLag<ClientConnection> acceptLag = new AcceptLag<>();

  /** The clock time for which the next tick is scheduled. */
  private long nextTickAt = Long.MAX_VALUE;

  /** The clock time for which the last tick was scheduled. */
  private long lastTickScheduledAt;

  /** The clock time at which the last tick ran, or at which the monitor was started. */
  private long lastTickAt;

  /** The sum of the lags of all late ticks. */
  private long totalLagNanos;

  /** Whether the last tick was late, so that bytes that arrived before it are read only now. */
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

  /** Starts the periodic timer and returns its id. */
  public long start(Vertx vertx) {
    recordTick(clock.nowNanos());
    return vertx.setPeriodic(TICK_MILLIS, timer -> tick());
  }

  private void recordTick(long tickedAt) {
    lastTickAt = tickedAt;
    nextTickAt = tickedAt + TICK_NANOS;
  }

  private void tick() {
    totalLagNanos = totalLagNanos();
    long lateNanos = clock.nowNanos() - nextTickAt;
    // Between two ticks the event loop has read all of its sockets once.
    discoveryFreshness.socketsRead(lastTickAt);
    socketReads.socketsRead(lastTickAt);
    acceptLag.turnEnded(clock.nowNanos());
    loadShedder.turnStarted(clock.nowNanos(), Math.max(0, clock.nowNanos() - nextTickAt));
    lastTickWasLate = lateNanos > MIN_LAG_NANOS;
    lastTickScheduledAt = nextTickAt;
    recordTick(clock.nowNanos());
  }

  /**
   * Returns the current lag; 0 for none. Bytes that are read now arrived at some time within it.
   * The lag of a late tick counts until the next tick, since the sockets are read between the two,
   * however long that takes.
   */
  long currentLagNanos() {
    long lateNanos = clock.nowNanos() - (lastTickWasLate ? lastTickScheduledAt : nextTickAt);
    return lateNanos > MIN_LAG_NANOS ? lateNanos : 0;
  }

  /**
   * Returns the current lag for bytes that are read now from one client, including the time for
   * which its connection may have waited in the accept queue; 0 for none.
   */
  long lagNanos(ClientConnection client, long nowNanos) {
    return Math.max(currentLagNanos(), acceptLag.lagNanos(client, nowNanos));
  }

  /**
   * Records that a client's connection was accepted.
   *
   * @param pausedNanos how long the connection may have waited while accepting was paused; 0 for no
   *     pause
   */
  public void connectionAccepted(ClientConnection client, long pausedNanos) {
    acceptLag.connectionAccepted(
        client, clock.nowNanos(), Math.max(currentLagNanos(), pausedNanos));
  }

  /** Returns the sum of all lags up to now, including the current one. */
  long totalLagNanos() {
    long lateNanos = clock.nowNanos() - nextTickAt;
    return lateNanos > MIN_LAG_NANOS ? totalLagNanos + lateNanos : totalLagNanos;
  }
}
