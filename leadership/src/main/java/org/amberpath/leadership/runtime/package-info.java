/**
 * The runtime of leader election: elects leaders over membership's messages or the registry, and
 * runs the tasks that this gateway leads.
 *
 * <p>All of it runs on the gateway's event loop; {@link
 * org.amberpath.membership.runtime.MembershipService} calls {@link
 * org.amberpath.leadership.runtime.LeadershipService}, which is where to begin reading. The
 * decisions are in {@code org.amberpath.leadership}. {@link
 * org.amberpath.leadership.runtime.QuorumVoting} exchanges lease messages (prepare, accept) with
 * the quorum, {@link org.amberpath.leadership.runtime.RegistryLeaseClient} campaigns and renews
 * leases at the registry. A {@link org.amberpath.leadership.runtime.TaskRunner} checks its
 * leadership again whenever it sends (fencing).
 */
package org.amberpath.leadership.runtime;
