package org.amberpath.gateway.pipeline;

import org.amberpath.routing.RoutingActions;
import org.amberpath.routing.RoutingEvents;

/** The router: one call for each batch of events. */
public interface BatchRouter {
  /** Decides on a batch; the actions are carried out within the call. */
  void routeBatch(long nowNanos, RoutingEvents events, RoutingActions actions);
}
