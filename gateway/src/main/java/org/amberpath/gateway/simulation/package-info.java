/**
 * The operators' simulator wire (command {@code wirehost}): JSON lines in and out, many gateways in
 * one process, time as the simulator tells it. Single-threaded.
 */
package org.amberpath.gateway.simulation;
