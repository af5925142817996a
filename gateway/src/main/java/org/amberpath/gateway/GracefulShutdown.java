package org.amberpath.gateway;

import io.vertx.core.Vertx;
import java.util.function.Consumer;
import org.amberpath.gateway.client.ClientConnections;
import org.amberpath.gateway.pipeline.RequestPipeline;

/**
 * Drains a gateway by a {@link ShutdownSchedule}: requests are taken, then rejected; what is in
 * flight gets its response, or an error when there is no more time; connections are half-closed.
 */
final class GracefulShutdown {
  private static final long CHECK_MILLIS = 10;

  /** How long the loop reads once more: a timer set now comes after that. */
  private static final long LAST_READ_MILLIS = 1;

  private final RequestPipeline pipeline;
  private final ShutdownSchedule schedule;
  private final Consumer<ShutdownSchedule> onDrained;

  /**
   * A shutdown that has not begun.
   *
   * @param onDrained is called once, when all clients have read their responses or there is no more
   *     time for it
   */
  GracefulShutdown(
      RequestPipeline pipeline, ShutdownSchedule schedule, Consumer<ShutdownSchedule> onDrained) {
    this.pipeline = pipeline;
    this.schedule = schedule;
    this.onDrained = onDrained;
  }

  /** Begins; each step is taken when the schedule says so. */
  void start() {
    vertx().setPeriodic(CHECK_MILLIS, this::check);
  }

  private Vertx vertx() {
    return pipeline.context().vertx();
  }

  private long nowNanos() {
    return pipeline.context().clock().nowNanos();
  }

  private void check(long timer) {
    ClientConnections clients = pipeline.clients();
    if (schedule.rejects(nowNanos())) {
      clients.reject();
    }
    failUnanswered();
    if (schedule.exits(nowNanos(), clients.allWritten(), clients.size() == 0)) {
      vertx().cancelTimer(timer);
      halfClose();
      onDrained.accept(schedule);
    } else if (!clients.isEnded() && schedule.halfCloses(nowNanos(), pipeline.isDrained())) {
      // Guards requests that came while the event loop stalled: the sockets are read once more.
      vertx().setTimer(LAST_READ_MILLIS, read -> halfClose());
    }
  }

  /** Fails what is in flight, if it is time for that. */
  private void failUnanswered() {
    if (schedule.failsInFlight(nowNanos())) {
      pipeline.failUnanswered("shutting down");
    }
  }

  /**
   * Half-closes all connections, if it is still time for that: the loop may have read another
   * request meanwhile.
   */
  private void halfClose() {
    failUnanswered(); // Guards the rest of a request that came in that last read.
    if (!pipeline.clients().isEnded() && schedule.halfCloses(nowNanos(), pipeline.isDrained())) {
      pipeline.clients().end();
      schedule.halfClosed(nowNanos());
    }
  }
}
