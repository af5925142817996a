package org.amberpath.gateway.pipeline;

import io.vertx.core.Vertx;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.routing.DiscoveryFreshness;
import org.amberpath.routing.LoadShedder;
import org.amberpath.routing.SocketReads;

/**
 * The objects that the stages of a gateway's pipeline share.
 *
 * @param vertx provides timers and the event loop
 * @param clock the gateway's clock
 * @param inFlight all requests in flight
 * @param lagMonitor measures the event loop's lag
 * @param discoveryFreshness tells whether drains and purges are known recently enough to route
 * @param socketReads tells whether sockets were read recently enough to begin an attempt
 * @param loadShedder sheds load when the gateway is out of CPU
 * @param protocolErrors logs the protocol errors of clients and caches
 */
public record PipelineContext(
    Vertx vertx,
    Clock clock,
    InFlightRequests inFlight,
    EventLoopLagMonitor lagMonitor,
    DiscoveryFreshness discoveryFreshness,
    SocketReads socketReads,
    LoadShedder loadShedder,
    ProtocolErrorLog protocolErrors) {

  /** Creates the shared objects of a gateway that starts now. */
  static PipelineContext create(Vertx vertx, Clock clock, PipelineConfig config) {
    DiscoveryFreshness freshness =
        new DiscoveryFreshness(
            config.discoveryGraceNanos(), config.usesJournal(), clock.nowNanos());
    LoadShedder loadShedder =
        new LoadShedder(
            config.routing().seed(),
            config.routing().retries().retryAfter()
                ? config.routing().retries().maxRetryAfterNanos()
                : 0);
    SocketReads socketReads = new SocketReads(clock.nowNanos());
    return new PipelineContext(
        vertx,
        clock,
        new InFlightRequests(),
        new EventLoopLagMonitor(clock, freshness, socketReads, loadShedder),
        freshness,
        socketReads,
        loadShedder,
        new ProtocolErrorLog());
  }
}
