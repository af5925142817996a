package org.amberpath.routing;

/** A batch of everything that happened at one gateway since the batch before, in order. */
@FunctionalInterface
public interface RoutingEvents {
  /** Passes each event to the handler, in order, on the caller's thread. */
  void replayTo(RoutingEventHandler handler);
}
