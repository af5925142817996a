package org.amberpath.registry;

import java.util.List;
import java.util.Optional;

/**
 * A view as a snapshot file holds it over a restart.
 *
 * @param prefix what all its keys begin with
 * @param cluster the registry's own id; empty where it has none
 * @param revision up to which the entries have all changes
 * @param confirmedAtNanos when it was all that the registry held, in nanoseconds of Unix time
 * @param entries all keys, in their order
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
   * How old it is, at most: one from the future shows that a clock was set back by at least as
   * much, and a step is an hour at most. Negative where no such step explains it.
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

  /** Why it is not to be served from; empty where it may be. */
  public Optional<String> refusal(long nowNanos, String wantedPrefix, long maxAgeNanos) {
    if (!prefix.equals(wantedPrefix)) {
      return Optional.of("it is of the prefix " + prefix);
    }
    if (nowNanos - confirmedAtNanos > maxAgeNanos) {
      return Optional.of("it is " + (nowNanos - confirmedAtNanos) / SECOND_NANOS + " s old");
    }
    // Guards against a clock that was set back: its age would be less than it is.
    return ageNanos(nowNanos) < 0 || ageNanos(nowNanos) > maxAgeNanos
        ? Optional.of("it is from the future")
        : Optional.empty();
  }
}
