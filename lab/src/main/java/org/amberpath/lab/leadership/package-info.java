/**
 * Tests of leader election: the model of candidates, voters and fences on a virtual clock ({@link
 * org.amberpath.lab.leadership.LeadershipModelExperiment}), real gateways with injected faults
 * ({@link org.amberpath.lab.leadership.LeadershipExperiment}), and a measurement of the benefit of
 * tasks that one gateway performs for the fleet ({@link
 * org.amberpath.lab.leadership.LeadershipValueExperiment}).
 *
 * <p>Called by {@code lab owner-model}, {@code owner} and {@code owner-worth}. A model runs on one
 * thread; an experiment with processes runs on its own thread next to an event loop. Start reading
 * at {@code LeadershipModel}.
 */
package org.amberpath.lab.leadership;
