package org.amberpath.cli.settings;

import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.amberpath.leadership.LeaseTimings;
import org.amberpath.leadership.VoterConfiguration;
import org.amberpath.leadership.runtime.LeadershipSettings;
import org.amberpath.membership.runtime.MembershipSettings;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySettings.ProtocolKind;

/**
 * Reads section {@code [owner]}: how the leader of a task is elected, how long its lease lasts, and
 * which tasks are enabled.
 */
final class LeadershipSection {
  static final String NAME = "owner";
  static final Set<String> KEYS =
      Set.of(
          "voters",
          "next-voters",
          "by",
          "lease-s",
          "settle-s",
          "sweep",
          "sweep-every-s",
          "probe",
          "warm");

  /** Assumed upper bound on how fast or slow a machine's clock runs, in parts per million. */
  private static final int MAX_CLOCK_DRIFT_PPM = 1000;

  /**
   * Lower bound on the settle time if a task sends requests: the former leader's last request has
   * to end before its successor acts, beyond the delay of the messages themselves.
   */
  private static final long MIN_SETTLE_NANOS_WITH_REQUESTS = 300_000_000;

  private final IniSection section;

  LeadershipSection(IniSection section) {
    this.section = section;
  }

  /**
   * Reads and validates the section.
   *
   * @param reloadVoters reads the voters from the file again when it is called; blocks on I/O
   */
  LeadershipSettings read(
      Optional<RegistrySettings> registry,
      Optional<MembershipSettings> membership,
      Supplier<VoterConfiguration> reloadVoters) {
    boolean purgeRetentionEnabled = section.isYes("sweep");
    boolean healthChecksEnabled = section.isYes("probe");
    boolean prefetchEnabled = section.isYes("warm");
    boolean usesRegistryLease = section.choice("by", "votes", "lease").equals("lease");
    if (membership.isEmpty()) {
      throw section.invalid("voters", "requires section [fleet]: gateways vote by its datagrams");
    }
    if (purgeRetentionEnabled && registry.isEmpty()) {
      throw section.invalid("sweep", "requires section [registry]");
    }
    if (usesRegistryLease
        && registry.map(RegistrySettings::protocol).orElse(null) != ProtocolKind.ETCD) {
      throw section.invalid("by", "lease requires section [registry] with form = etcd");
    }
    VoterConfiguration voters = usesRegistryLease ? null : voters();
    LeaseTimings timings = timings(usesRegistryLease, healthChecksEnabled || prefetchEnabled);
    return new LeadershipSettings(
        voters,
        reloadVoters,
        usesRegistryLease ? registry.get() : null,
        timings,
        purgeRetentionEnabled ? registry.get() : null,
        section.secondsToNanos("sweep-every-s", "5", 0.1, 3600),
        healthChecksEnabled,
        prefetchEnabled);
  }

  private VoterConfiguration voters() {
    try {
      return new VoterConfiguration(section.listItems("voters"), section.listItems("next-voters"));
    } catch (IllegalArgumentException e) {
      throw section.invalid("voters", e.getMessage());
    }
  }

  private LeaseTimings timings(boolean usesRegistryLease, boolean tasksSendRequests) {
    long leaseNanos =
        usesRegistryLease
            ? section.integer("lease-s", "3", 2, 60) * IniSection.NANOS_PER_SECOND
            : section.secondsToNanos("lease-s", "3", 1, 60);
    long settleNanos = section.secondsToNanos("settle-s", "0.6", 0, 60);
    if (tasksSendRequests
        && (settleNanos < MIN_SETTLE_NANOS_WITH_REQUESTS || 2 * settleNanos > leaseNanos)) {
      throw section.invalid(
          "settle-s",
          "with probe or warm, has to be from "
              + MIN_SETTLE_NANOS_WITH_REQUESTS / 1e9
              + " to half of lease-s");
    }
    return new LeaseTimings(leaseNanos, settleNanos, MAX_CLOCK_DRIFT_PPM);
  }
}
