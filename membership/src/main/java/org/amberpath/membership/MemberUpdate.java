package org.amberpath.membership;

/**
 * A statement about the state of one member, made by another member or by the member itself.
 *
 * @param name the member's name, which stays the same after a restart
 * @param address the address to which datagrams for the member are sent
 * @param incarnation rises with each start and each refutation; only the member itself raises it
 * @param instanceId a random number that each process draws at its start; distinguishes two
 *     processes with the same name
 * @param status the member's status as the reporter sees it
 * @param reporter the name of the member that made the statement; the number of different reporters
 *     of a suspicion determines how long it lasts
 */
public record MemberUpdate(
    String name,
    String address,
    long incarnation,
    long instanceId,
    MemberStatus status,
    String reporter) {
  /**
   * Whether this update takes precedence over another update about the same member: it has the
   * higher incarnation, or the same incarnation and a later {@link MemberStatus}.
   */
  boolean supersedes(MemberUpdate other) {
    return incarnation > other.incarnation
        || (incarnation == other.incarnation && status.compareTo(other.status) > 0);
  }
}
