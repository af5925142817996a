/**
 * What all models share: the virtual clock, the run ({@link
 * org.amberpath.lab.simulation.Simulation}), processes with clocks of their own, links and messages
 * with faults, a registry's key with its lease, violations of invariants, many runs from seeds.
 *
 * <p>Called by the models on one thread a run. The order of random draws is part of a model's
 * behaviour. Begin with {@link org.amberpath.lab.simulation.Simulation}.
 */
package org.amberpath.lab.simulation;
