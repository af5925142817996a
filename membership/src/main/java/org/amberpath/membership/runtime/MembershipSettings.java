package org.amberpath.membership.runtime;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * What operators set of membership. Addresses are numeric.
 *
 * @param fleet the fleet's name; datagrams of other fleets are rejected
 * @param listen where datagrams are received; port 0 takes a free one
 * @param advertised the address that is sent to others in its place; null for the same
 * @param seeds addresses of which any may answer at a start
 * @param maxMembers the most gateways that may run at once; 0 for the number of the routing
 *     configuration
 * @param probeIntervalNanos between two probes
 * @param keyFile a file of lines "ID HEX": the first key signs, each verifies
 * @param adminAddress where {@link AdminEndpoint} listens, on loopback; null for nowhere
 */
public record MembershipSettings(
    String fleet,
    SocketAddress listen,
    SocketAddress advertised,
    List<SocketAddress> seeds,
    int maxMembers,
    long probeIntervalNanos,
    Path keyFile,
    SocketAddress adminAddress) {}
