package org.amberpath.registry;

import java.util.List;

/**
 * The view as a file keeps it over a restart.
 *
 * @param confirmedAtNanos when it was all that the registry held, in nanoseconds of Unix time
 */
public record Snapshot(
    String prefix,
    String cluster,
    long revision,
    long confirmedAtNanos,
    List<RegistryEntry> entries) {
  private static final long MAX_CLOCK_STEP_NANOS =
      EndpointStartTimes.MAX_CLOCK_STEP_MILLIS * 1_000_000;

  /**
   * How old it is, at most: one from the future shows that a clock was set back by at least as
   * much, and a step is an hour at most. Negative where no such step explains it.
   */
  public long ageNanos(long now) {
    long age = now - confirmedAtNanos;
    return age >= 0
        ? age
        : age >= -EndpointChangePublisher.MAX_CLOCK_SKEW_NANOS ? 0 : age + MAX_CLOCK_STEP_NANOS;
  }

  /** Why it is not to be served from; null where it may be. */
  public String refusal(long now, String ofPrefix, long oldest) {
    if (!prefix.equals(ofPrefix)) {
      return "it is of the prefix " + prefix;
    }
    if (now - confirmedAtNanos > oldest) {
      return "it is " + (now - confirmedAtNanos) / 1_000_000_000 + " s old";
    }
    // Guards against a clock that was set back: its age would be less than it is.
    return ageNanos(now) < 0 || ageNanos(now) > oldest ? "it is from the future" : null;
  }
}
