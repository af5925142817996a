/**
 * Deterministic simulation for models: a scheduler with a virtual clock, the context of a run
 * ({@link org.amberpath.lab.simulation.Simulation}), processes with drifting local clocks, links
 * and messages with injected faults, a leased registry key, invariant violations, and batches of
 * seeded runs.
 *
 * <p>Each run of a model uses one thread. The order of random draws is part of the behaviour of a
 * model. Start reading at {@link org.amberpath.lab.simulation.Simulation}.
 */
package org.amberpath.lab.simulation;
