/**
 * Leadership at work: elects leaders over the fleet's messages or the registry, and runs the tasks
 * that this gateway leads.
 *
 * <p>All of it runs on the gateway's event loop; {@link
 * org.amberpath.membership.runtime.MembershipService} calls {@link
 * org.amberpath.leadership.runtime.LeadershipService}, which is where to begin reading. The
 * decisions are in {@code org.amberpath.leadership}. {@link
 * org.amberpath.leadership.runtime.QuorumVoting} carries ballots (prepare, accept) to the quorum,
 * {@link org.amberpath.leadership.runtime.RegistryLeaseClient} lease renewal to the registry. A
 * {@link org.amberpath.leadership.runtime.TaskRunner} checks its leadership again whenever it sends
 * (fencing).
 */
package org.amberpath.leadership.runtime;
