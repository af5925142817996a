/**
 * A fleet of gateways with the real request router on a virtual clock, among simulated caches and
 * clients. Scenarios of leadership and recovery extend it.
 *
 * <p>Each run uses one thread; the same seed gives the same run. Start reading at {@link
 * org.amberpath.lab.fleet.VirtualFleet}.
 */
package org.amberpath.lab.fleet;
