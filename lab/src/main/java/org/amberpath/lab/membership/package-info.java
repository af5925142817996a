/**
 * Tests of membership: the model of SWIM members on a virtual clock ({@link
 * org.amberpath.lab.membership.MembershipModelExperiment}), real gateways with injected faults
 * ({@link org.amberpath.lab.membership.MembershipExperiment}), and the cost of membership by fleet
 * size ({@link org.amberpath.lab.membership.MembershipSizeExperiment}).
 *
 * <p>Called by {@code lab fleet-model}, {@code fleet} and {@code fleet-size}. A model runs on one
 * thread; an experiment with processes runs on its own thread next to an event loop. Start reading
 * at {@code MembershipModel}.
 */
package org.amberpath.lab.membership;
