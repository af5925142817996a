package org.amberpath.gateway;

import io.vertx.core.Vertx;
import java.util.function.Consumer;
import org.amberpath.gateway.client.ClientConnections;
import org.amberpath.gateway.pipeline.RequestPipeline;

/**
 * Drains a gateway by a {@link ShutdownSchedule}: at first new requests are still accepted, then
 * they are rejected. Requests in flight get their responses, or an error once no time is left for
 * them; then all client connections are half-closed.
 */
final class GracefulShutdown {
  private static final long CHECK_INTERVAL_MILLIS = 10;

  /**
   * The delay of a timer that fires after the event loop has read its sockets once more, since the
   * loop reads them between two runs of timers.
   */
  private static final long READ_SOCKETS_MILLIS = 1;

  private final RequestPipeline pipeline;
  private final ShutdownSchedule schedule;
  private final Consumer<ShutdownSchedule> onDrained;

  /**
   * Creates a shutdown, which {@link #start()} begins.
   *
   * @param onDrained is called once, when the schedule lets the process exit: clients had time to
   *     read their responses, have all disconnected, or no time is left
   */
  GracefulShutdown(
      RequestPipeline pipeline, ShutdownSchedule schedule, Consumer<ShutdownSchedule> onDrained) {
    this.pipeline = pipeline;
    this.schedule = schedule;
    this.onDrained = onDrained;
  }

  /** Begins the shutdown: checks every 10 ms which step of the schedule is due. */
  void start() {
    vertx().setPeriodic(CHECK_INTERVAL_MILLIS, this::check);
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
      clients.rejectRequests();
    }
    failUnanswered();
    if (schedule.exits(nowNanos(), clients.allResponsesWritten(), clients.descriptorCount() == 0)) {
      vertx().cancelTimer(timer);
      halfClose();
      onDrained.accept(schedule);
    } else if (!clients.isHalfClosed() && schedule.halfCloses(nowNanos(), pipeline.isDrained())) {
      // Guards against dropping requests that arrived while the event loop was blocked: the sockets
      // are read once more before the connections are half-closed.
      vertx().setTimer(READ_SOCKETS_MILLIS, read -> halfClose());
    }
  }

  /** Fails all unanswered requests, if the schedule says so by now. */
  private void failUnanswered() {
    if (schedule.failsInFlight(nowNanos())) {
      pipeline.failUnanswered("shutting down");
    }
  }

  /**
   * Half-closes all connections, unless the event loop has meanwhile read another request, which is
   * answered first if time is left.
   */
  private void halfClose() {
    failUnanswered(); // The last read of the sockets may have completed another request.
    if (!pipeline.clients().isHalfClosed()
        && schedule.halfCloses(nowNanos(), pipeline.isDrained())) {
      pipeline.clients().halfCloseAll();
      schedule.halfClosed(nowNanos());
    }
  }
}
