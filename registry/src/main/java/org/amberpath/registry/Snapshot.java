package org.amberpath.registry;

import java.util.List;

/**
 * The view as a file keeps it over a restart.
 *
 * @param provenAt when it was all that the registry held, in nanoseconds of Unix time
 */
public record Snapshot(
    String prefix, String cluster, long revision, long provenAt, List<RegistryEntry> keys) {
  private static final long LONGEST_STEP_NANOS = Starts.LONGEST_STEP_MILLIS * 1_000_000;

  /**
   * How old it is, at most: one from the future shows that a clock was set back by at least as
   * much, and a step is an hour at most. Negative where no such step explains it.
   */
  public long age(long now) {
    long age = now - provenAt;
    return age >= 0 ? age : age >= -RegistryView.SKEW ? 0 : age + LONGEST_STEP_NANOS;
  }

  /** Why it is not to be served from; null where it may be. */
  public String refusal(long now, String ofPrefix, long oldest) {
    if (!prefix.equals(ofPrefix)) {
      return "it is of the prefix " + prefix;
    }
    if (now - provenAt > oldest) {
      return "it is " + (now - provenAt) / 1_000_000_000 + " s old";
    }
    // Guards against a clock that was set back: its age would be less than it is.
    return age(now) < 0 || age(now) > oldest ? "it is from the future" : null;
  }
}
