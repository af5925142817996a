/**
 * A fleet of gateways with the real decisions on a virtual clock, among simulated caches and
 * clients. Scenarios of leadership and recovery are built on it.
 *
 * <p>One thread a run; the same seed gives the same run. Begin with {@link
 * org.amberpath.lab.fleet.VirtualFleet}.
 */
package org.amberpath.lab.fleet;
