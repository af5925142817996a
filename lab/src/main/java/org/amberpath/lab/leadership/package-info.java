/**
 * Leadership tried: the model of candidates, voters and fences on a virtual clock ({@link
 * org.amberpath.lab.leadership.LeadershipModelExperiment}), real gateways with faults ({@link
 * org.amberpath.lab.leadership.LeadershipExperiment}), and what leading tasks for a fleet is worth.
 *
 * <p>Called by {@code lab owner-model}, {@code owner} and {@code owner-worth}. A model runs on one
 * thread; an experiment with processes runs on its own thread beside an event loop. Begin with
 * {@code LeadershipModel}.
 */
package org.amberpath.lab.leadership;
