package org.amberpath.leadership.runtime;

import java.util.function.Supplier;
import org.amberpath.leadership.LeaseTimings;
import org.amberpath.leadership.VoterConfiguration;
import org.amberpath.registry.runtime.RegistrySettings;

/**
 * The settings of the section {@code [owner]}.
 *
 * @param voters the configured voters, by gateway name; null where leases in the registry decide
 * @param reloadVoters reads the voters anew; it is called off the event loop
 * @param leaseRegistry the registry whose leases decide; null where voters do
 * @param timings of leases, whichever decides
 * @param purgeRegistry where purges past their retention are deleted; null for nowhere
 * @param purgeSweepIntervalNanos between two looks for such purges
 * @param healthChecks whether one gateway health-checks ejected endpoints for all
 * @param prefetch whether one gateway prefetches into endpoints that are warming up
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
