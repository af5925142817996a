/**
 * Decides on requests as pure functions of state, events and time: from which endpoint a request is
 * served, from which source a miss is filled, whether the response is cached, and when the request
 * is retried, hedged or rejected.
 *
 * <p>The package depends on the JDK alone. It has no I/O, no threads and no clock: its callers pass
 * events and the time, and carry out the actions. The gateway calls it on the event loop that owns
 * the gateway; the simulator and the tests call it on threads of their own. No class is safe for
 * use by more than one thread.
 *
 * <p>Begin reading at {@link org.amberpath.routing.RequestRouter#requestReceived}, the ordinary
 * path of a request. Inputs are {@link org.amberpath.routing.RoutingEvents} and {@link
 * org.amberpath.routing.RoutingConfig}, outputs {@link org.amberpath.routing.RoutingActions};
 * {@link org.amberpath.routing.EndpointListener} receives endpoints, drains and purges from
 * discovery. The design is docs/design.md.
 */
package org.amberpath.routing;
