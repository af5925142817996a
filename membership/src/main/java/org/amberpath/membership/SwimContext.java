package org.amberpath.membership;

import java.util.SplittableRandom;

/** What the parts of one {@link SwimProtocol} share. */
record SwimContext(
    SwimTimings timings,
    SplittableRandom random,
    MembershipTable table,
    LocalMember local,
    MessageSender sender,
    GossipQueue gossip) {}
