/**
 * Every decision on a request, pure: where it is answered from, filled from and cached, when it is
 * retried, hedged or rejected.
 *
 * <p>The package depends on the JDK alone. It has no I/O, no threads and no clock: its callers pass
 * events and the time, and carry out the actions. The gateway calls it on the event loop that owns
 * the gateway; the simulator and the tests call it on threads of their own. No class is safe for
 * use by more than one thread.
 *
 * <p>Begin reading at {@link org.amberpath.routing.RequestRouter#requestReceived}, the ordinary
 * path of a request. Inputs are {@link org.amberpath.routing.RoutingEvents} and {@link
 * org.amberpath.routing.RoutingConfig}, outputs {@link org.amberpath.routing.RoutingActions};
 * {@link org.amberpath.routing.EndpointListener} is the one port for endpoints, drains and purges.
 * The design is docs/design.md.
 */
package org.amberpath.routing;
