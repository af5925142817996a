/**
 * Membership tried: the model of SWIM members on a virtual clock ({@link
 * org.amberpath.lab.membership.MembershipModelExperiment}), real gateways with faults ({@link
 * org.amberpath.lab.membership.MembershipExperiment}), and its cost by the fleet's size.
 *
 * <p>Called by {@code lab fleet-model}, {@code fleet} and {@code fleet-size}. A model runs on one
 * thread; an experiment with processes runs on its own thread beside an event loop. Begin with
 * {@code MembershipModel}.
 */
package org.amberpath.lab.membership;
