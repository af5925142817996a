/**
 * Simulation of a power loss of all gateways and caches on a virtual clock, with several policies
 * for admitting requests afterwards.
 *
 * <p>Called by {@code lab powerloss-size}; one thread per run. Start reading at {@link
 * org.amberpath.lab.recovery.PowerLossSizeExperiment}.
 */
package org.amberpath.lab.recovery;
