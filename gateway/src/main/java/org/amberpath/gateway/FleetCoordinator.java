package org.amberpath.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.amberpath.gateway.pipeline.FleetCallbacks;
import org.amberpath.routing.EndpointHealthStatus;

/**
 * The other gateways of the fleet, as far as this one knows them. All methods are called on the
 * gateway's event loop, and {@link FleetCallbacks} are called there too.
 */
public interface FleetCoordinator {
  /** Creates the coordinator of one gateway. */
  interface Factory {
    /** Creates a coordinator that is not started yet. */
    FleetCoordinator create(Vertx vertx, GatewayOptions options, FleetCallbacks callbacks);
  }

  /** Joins the fleet. A failure has a message for operators and keeps the gateway from starting. */
  Future<Void> start();

  /** The router's health state of an endpoint has changed. */
  void endpointHealthChanged(String endpointId, EndpointHealthStatus health);

  /**
   * An endpoint of this zone has started and is in slow start.
   *
   * @param untilNanos the clock time at which its slow start ends
   */
  void endpointWarmingUp(String endpointId, long untilNanos);

  /** SIGHUP was received: files named in the settings may have changed. */
  void reload();

  /**
   * The gateway has begun a graceful shutdown: no new work for the fleet is started, and leases are
   * handed over.
   */
  void beginDraining();

  /**
   * Announces to some members that this gateway leaves; completes once that is sent. No callback is
   * called afterwards.
   */
  Future<Void> close();
}
