package org.amberpath.membership;

/**
 * What one member says of another, or of itself.
 *
 * @param name the member's name, the same after a restart
 * @param address where its datagrams go
 * @param incarnation rises with each start and each refutation; only the member itself raises it
 * @param instanceId drawn at random by each process: tells two processes under one name apart
 * @param status as the reporter sees it
 * @param reporter who said so first; accusers of a suspected member are counted by it
 */
public record MemberUpdate(
    String name,
    String address,
    long incarnation,
    long instanceId,
    MemberStatus status,
    String reporter) {
  /**
   * Whether this update takes precedence over another of the same member: by a higher incarnation,
   * under the same incarnation by a later {@link MemberStatus}.
   */
  boolean supersedes(MemberUpdate other) {
    return incarnation > other.incarnation
        || (incarnation == other.incarnation && status.compareTo(other.status) > 0);
  }
}
