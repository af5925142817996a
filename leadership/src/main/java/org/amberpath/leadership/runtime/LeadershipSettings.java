package org.amberpath.leadership.runtime;

import java.util.function.Supplier;
import org.amberpath.leadership.LeaseTimings;
import org.amberpath.leadership.VoterConfiguration;
import org.amberpath.registry.runtime.RegistrySettings;

/**
 * What the operators set of ownership.
 *
 * @param electorate who votes, by the names of gateways; null where the registry says who owns what
 * @param electorateNow reads who votes anew; it is called off the event loop
 * @param lease the registry whose keys say who owns what; null where gateways vote
 * @param sweep where purges are swept; null where nothing is
 * @param sweepEvery between two looks for what is to be swept, in nanoseconds
 * @param probe whether caches that were set aside are tried by one for all
 * @param warm whether caches that have just started are filled ahead by one
 */
public record LeadershipSettings(
    VoterConfiguration electorate,
    Supplier<VoterConfiguration> electorateNow,
    RegistrySettings lease,
    LeaseTimings rules,
    RegistrySettings sweep,
    long sweepEvery,
    boolean probe,
    boolean warm) {}
