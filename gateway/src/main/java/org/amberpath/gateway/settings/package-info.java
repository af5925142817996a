/**
 * JSON settings: {@link org.amberpath.gateway.settings.JsonReader}, which is also used for
 * discovery replies and for the simulator's protocol, and the routing configuration that is read
 * with it. The package does no I/O; all types are immutable.
 */
package org.amberpath.gateway.settings;
