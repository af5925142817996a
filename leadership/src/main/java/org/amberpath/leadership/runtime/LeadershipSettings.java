package org.amberpath.leadership.runtime;

import java.util.function.Supplier;
import org.amberpath.leadership.LeaseTimings;
import org.amberpath.leadership.VoterConfiguration;
import org.amberpath.registry.runtime.RegistrySettings;

/**
 * What the operators set of ownership.
 *
 * @param voters who votes, by the names of gateways; null where the registry says who owns what
 * @param reloadVoters reads who votes anew; it is called off the event loop
 * @param leaseRegistry the registry whose keys say who owns what; null where gateways vote
 * @param purgeRegistry where purges are swept; null where nothing is
 * @param purgeSweepIntervalNanos between two looks for what is to be swept, in nanoseconds
 * @param healthChecks whether caches that were set aside are tried by one for all
 * @param prefetch whether caches that have just started are filled ahead by one
 */
public record LeadershipSettings(
    VoterConfiguration voters,
    Supplier<VoterConfiguration> reloadVoters,
    RegistrySettings leaseRegistry,
    LeaseTimings timings,
    RegistrySettings purgeRegistry,
    long purgeSweepIntervalNanos,
    boolean healthChecks,
    boolean prefetch) {}
