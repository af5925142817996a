package org.amberpath.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.amberpath.gateway.pipeline.FleetCallbacks;
import org.amberpath.routing.EndpointHealthStatus;

/**
 * Connects a gateway with the other gateways of its fleet: membership, leases and health reports.
 * The gateway calls all methods on its event loop, and the coordinator calls {@link FleetCallbacks}
 * there too.
 */
public interface FleetCoordinator {
  /** Creates the coordinator of one gateway. */
  interface Factory {
    /** Creates a coordinator, which {@link #start()} starts later. */
    FleetCoordinator create(Vertx vertx, GatewayOptions options, FleetCallbacks callbacks);
  }

  /**
   * Joins the fleet. Where the future fails, the gateway does not start, and the exception's
   * message is printed for operators.
   */
  Future<Void> start();

  /** Called when the router has changed the health status of an endpoint. */
  void endpointHealthChanged(String endpointId, EndpointHealthStatus health);

  /**
   * Called when an endpoint of this gateway's zone has started and is in slow start.
   *
   * @param untilNanos the clock time at which its slow start ends
   */
  void endpointWarmingUp(String endpointId, long untilNanos);

  /**
   * Rereads the files that the coordinator's settings name; called when the process has received
   * SIGHUP.
   */
  void reload();

  /**
   * Called when the gateway begins a graceful shutdown: the coordinator starts no new fleet task
   * and hands its leases over.
   */
  void beginDraining();

  /**
   * Announces to some members of the fleet that this gateway leaves. The future completes once the
   * announcement is sent; no callback is called afterwards.
   */
  Future<Void> close();
}
