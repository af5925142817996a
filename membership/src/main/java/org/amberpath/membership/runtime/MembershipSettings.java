package org.amberpath.membership.runtime;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The operator's settings of membership. All addresses are numeric.
 *
 * @param fleet the fleet's name; datagrams of other fleets are rejected
 * @param listenAddress the address to receive datagrams at; port 0 selects a free port
 * @param advertisedAddress the address that other members send datagrams to; null if it is the
 *     address listened at
 * @param seeds addresses that are contacted to discover the fleet; any one that answers suffices
 * @param maxMembers the maximum number of gateways that run at once; 0 for the number in the
 *     routing configuration
 * @param probeIntervalNanos the time between two probes of this member, in nanoseconds
 * @param keyFile a file with one key per line, as "ID HEX": the first key signs, every key verifies
 * @param adminAddress the loopback address that {@link AdminEndpoint} listens at; null to run no
 *     admin endpoint
 */
public record MembershipSettings(
    String fleet,
    SocketAddress listenAddress,
    SocketAddress advertisedAddress,
    List<SocketAddress> seeds,
    int maxMembers,
    long probeIntervalNanos,
    Path keyFile,
    SocketAddress adminAddress) {}
