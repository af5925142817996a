package org.amberpath.membership;

import java.util.SplittableRandom;

/** The objects that the components of one {@link SwimProtocol} share. */
record SwimContext(
    SwimTimings timings,
    SplittableRandom random,
    MembershipTable table,
    LocalMember local,
    MessageSender sender,
    GossipQueue gossip) {}
