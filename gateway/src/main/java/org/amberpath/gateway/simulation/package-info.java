/**
 * Server side of the operators' simulator protocol (command {@code wirehost}): reads and writes
 * JSON lines and runs many gateways in one process on simulated time. Single-threaded.
 */
package org.amberpath.gateway.simulation;
