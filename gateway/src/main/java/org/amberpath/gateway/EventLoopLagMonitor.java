package org.amberpath.gateway;

import io.vertx.core.Vertx;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.routing.AcceptLag;
import org.amberpath.routing.DiscoveryFreshness;
import org.amberpath.routing.LoadShedder;
import org.amberpath.routing.SocketReads;

/**
 * How long this gateway itself stood still, for want of CPU or in a pause of the runtime: a tick
 * that comes late.
 */
final class EventLoopLagMonitor {
  private static final long TICK_MS = 10, SEEN_NS = 5_000_000;

  private final Clock clock;
  private final DiscoveryFreshness news;
  private final SocketReads reads;
  private final LoadShedder pace;
  private final AcceptLag<ClientConnection> accepts = new AcceptLag<>();
  private long due = Long.MAX_VALUE, total, ticked, began;

  /** Whether the last tick was late: what came before it is read only now. */
  private boolean behind;

  EventLoopLagMonitor(Clock clock, DiscoveryFreshness news, SocketReads reads, LoadShedder pace) {
    this.clock = clock;
    this.news = news;
    this.reads = reads;
    this.pace = pace;
  }

  /** Returns the timer's id. */
  long watch(Vertx vertx) {
    ticked = clock.now();
    due = ticked + TICK_MS * 1_000_000;
    return vertx.setPeriodic(
        TICK_MS,
        tick -> {
          total = soFar();
          long late = clock.now() - due;
          news.read(ticked); // Between two ticks the loop has read all of its sockets.
          reads.read(ticked);
          accepts.turn(clock.now());
          pace.turn(clock.now(), Math.max(0, clock.now() - due));
          behind = late > SEEN_NS;
          began = due;
          ticked = clock.now();
          due = ticked + TICK_MS * 1_000_000;
        });
  }

  /**
   * For how long it has stood still just now: what is read at this moment came at some time in
   * that. It counts up to the tick after the late one, since the sockets are read between the two,
   * however long that takes.
   */
  long late() {
    long late = clock.now() - (behind ? began : due);
    return late > SEEN_NS ? late : 0;
  }

  /**
   * The same for what is read now from one client, whose connection may have waited to be accepted.
   */
  long late(ClientConnection from, long now) {
    return Math.max(late(), accepts.lag(from, now));
  }

  /** A client's connection was accepted, after accepting had paused for so many nanoseconds. */
  void accepted(ClientConnection client, long pausedNanos) {
    accepts.accepted(client, clock.now(), Math.max(late(), pausedNanos));
  }

  /** In all, up to now: also while the late tick has not come yet. */
  long soFar() {
    long late = clock.now() - due;
    return late > SEEN_NS ? total + late : total;
  }
}
