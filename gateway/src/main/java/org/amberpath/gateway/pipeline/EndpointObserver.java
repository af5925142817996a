package org.amberpath.gateway.pipeline;

import org.amberpath.routing.EndpointHealthStatus;

/** Observes the router's decisions about endpoints. */
public interface EndpointObserver {
  /**
   * Called when the health status of an endpoint has changed, or may have.
   *
   * @param endpoint the index of the endpoint
   */
  void healthChanged(int endpoint, EndpointHealthStatus health);

  /**
   * Called when an endpoint has entered slow start.
   *
   * @param endpoint the index of the endpoint
   * @param untilNanos the clock time at which the slow start ends
   */
  void warmingUp(int endpoint, long untilNanos);
}
