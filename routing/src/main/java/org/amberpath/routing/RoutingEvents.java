package org.amberpath.routing;

/** The events of one gateway since the previous batch, in order. */
@FunctionalInterface
public interface RoutingEvents {
  /** Passes each event to the handler, in order, on the caller's thread. */
  void replayTo(RoutingEventHandler handler);
}
