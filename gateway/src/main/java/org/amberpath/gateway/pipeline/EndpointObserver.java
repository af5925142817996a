package org.amberpath.gateway.pipeline;

import org.amberpath.routing.EndpointHealthStatus;

/** Is notified of what the router decides about endpoints. */
public interface EndpointObserver {
  /** An endpoint's health state has changed. */
  void healthChanged(int endpoint, EndpointHealthStatus health);

  /** An endpoint is in slow start until a clock time. */
  void warmingUp(int endpoint, long untilNanos);
}
