package org.amberpath.registry;

import java.util.List;
import java.util.Optional;

/**
 * The contents of a snapshot file, which holds a view across a restart.
 *
 * @param prefix prefix of all its keys
 * @param cluster the registry's cluster id; empty if it has none
 * @param revision the revision up to which the entries include all changes
 * @param confirmedAtNanos when the view was last confirmed to be current, in nanoseconds of Unix
 *     time
 * @param entries all entries, ordered by key
 */
public record Snapshot(
    String prefix,
    String cluster,
    long revision,
    long confirmedAtNanos,
    List<RegistryEntry> entries) {
  private static final long SECOND_NANOS = 1_000_000_000;
  private static final long MAX_CLOCK_STEP_NANOS =
      EndpointStartTimes.MAX_CLOCK_STEP_MILLIS * 1_000_000;

  /**
   * Returns an upper bound of the snapshot's age. A timestamp in the future shows that a wall clock
   * was set back by at least as much; since a step is assumed to be an hour at most, the age is at
   * most an hour less that difference. A timestamp ahead by no more than the clock skew between
   * processes counts as age 0. The result is negative if no step of an hour explains the timestamp.
   */
  public long ageNanos(long nowNanos) {
    long ageNanos = nowNanos - confirmedAtNanos;
    if (ageNanos >= 0) {
      return ageNanos;
    }
    return ageNanos >= -EndpointChangePublisher.MAX_CLOCK_SKEW_NANOS
        ? 0
        : ageNanos + MAX_CLOCK_STEP_NANOS;
  }

  /**
   * Returns why the snapshot must not be served from; empty if it may be.
   *
   * @param nowNanos the current Unix time in nanoseconds
   * @param wantedPrefix prefix of the keys that the gateway reads
   * @param maxAgeNanos the largest accepted age
   */
  public Optional<String> rejectionReason(long nowNanos, String wantedPrefix, long maxAgeNanos) {
    if (!prefix.equals(wantedPrefix)) {
      return Optional.of("its prefix is " + prefix + ", expected " + wantedPrefix);
    }
    if (nowNanos - confirmedAtNanos > maxAgeNanos) {
      return Optional.of(
          "it is "
              + (nowNanos - confirmedAtNanos) / SECOND_NANOS
              + " s old, at most "
              + maxAgeNanos / SECOND_NANOS
              + " s are allowed");
    }
    // Guards against a clock that was set back, by which the snapshot looks younger than it is.
    return ageNanos(nowNanos) < 0 || ageNanos(nowNanos) > maxAgeNanos
        ? Optional.of("its timestamp is in the future")
        : Optional.empty();
  }
}
