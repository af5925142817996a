package org.amberpath.gateway.pipeline;

import org.amberpath.routing.RoutingActions;
import org.amberpath.routing.RoutingEvents;

/** Makes the routing decisions, with one call for each batch of events. */
public interface BatchRouter {
  /**
   * Routes a batch of events. The actions are carried out within the call.
   *
   * @param nowNanos the clock time of the decisions
   * @param events replays the events of the batch, in order
   * @param actions carries out the decisions
   */
  void routeBatch(long nowNanos, RoutingEvents events, RoutingActions actions);
}
