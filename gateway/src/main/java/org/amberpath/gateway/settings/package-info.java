/**
 * JSON settings: the one reader of JSON objects, also for replies of discovery and the simulator's
 * wire, and the routing configuration that is read with it. No I/O; instances are not changed after
 * their construction.
 */
package org.amberpath.gateway.settings;
