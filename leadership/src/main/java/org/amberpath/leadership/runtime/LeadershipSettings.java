package org.amberpath.leadership.runtime;

import java.util.function.Supplier;
import org.amberpath.leadership.LeaseTimings;
import org.amberpath.leadership.VoterConfiguration;
import org.amberpath.registry.runtime.RegistrySettings;

/**
 * The settings of the section {@code [owner]}.
 *
 * @param voters the configured voters, by gateway name; null if leases in the registry elect the
 *     leaders
 * @param reloadVoters reads the configured voters again; called off the event loop
 * @param leaseRegistry the registry whose leases elect the leaders; null if voters do
 * @param timings the timings of leases, for either kind of election
 * @param purgeRegistry the registry in which purges past their retention are deleted; null to
 *     delete none
 * @param purgeSweepIntervalNanos the time between two sweeps for such purges
 * @param healthChecks whether one gateway health-checks ejected endpoints for all gateways
 * @param prefetch whether one gateway prefetches objects into endpoints that are in slow start
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
