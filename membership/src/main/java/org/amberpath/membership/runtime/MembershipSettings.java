package org.amberpath.membership.runtime;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * What the operators set of a fleet's view. Addresses are numeric, times nanoseconds.
 *
 * @param fleet which fleet this is: others' datagrams are passed over
 * @param listen where datagrams come; port 0 takes a free one
 * @param advertised what others are told in its place; null for the same
 * @param seeds addresses of which any may answer at a start
 * @param maxMembers the most gateways that may run at once; 0 for the site's own number
 * @param probeIntervalNanos between two probes
 * @param keyFile a file of lines "ID HEX": the first signs, each is believed
 * @param adminAddress where operators may ask, on loopback; null for nowhere
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
