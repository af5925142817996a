package org.amberpath.membership;

/**
 * What one gateway says of another, or of itself.
 *
 * @param name the gateway's name, the same after a restart
 * @param address where its datagrams go
 * @param incarnation rises with each start and each refutation
 * @param instanceId by chance, one to a process: tells two processes under one name apart
 * @param reporter who says so first: counts accusers of a suspected gateway apart
 */
public record MemberUpdate(
    String name,
    String address,
    long incarnation,
    long instanceId,
    MemberStatus status,
    String reporter) {
  boolean beats(MemberUpdate other) {
    return incarnation > other.incarnation
        || (incarnation == other.incarnation && status.compareTo(other.status) > 0);
  }
}
