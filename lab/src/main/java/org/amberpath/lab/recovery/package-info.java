/**
 * A power loss of all gateways and caches on a virtual clock, with several ways of opening.
 *
 * <p>Called by {@code lab powerloss-size}; one thread a run. Begin with {@link
 * org.amberpath.lab.recovery.PowerLossSizeExperiment}.
 */
package org.amberpath.lab.recovery;
