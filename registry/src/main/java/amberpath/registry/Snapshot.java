package amberpath.registry;

import java.util.List;

/**
 * The view as a file keeps it over a restart.
 *
 * @param provenAt when it was all that the registry held, in nanoseconds of Unix time
 */
public record Snapshot(String prefix, String cluster, long revision, long provenAt, List<Held> keys) {
  /** Why it is not to be served from; null where it may be. */
  public String refusal(long now, String ofPrefix, long oldest) {
    if (!prefix.equals(ofPrefix)) {
      return "it is of the prefix " + prefix;
    }
    if (now - provenAt > oldest) {
      return "it is " + (now - provenAt) / 1_000_000_000 + " s old";
    }
    // Guards against a clock that was set back: its age would be less than it is.
    return provenAt > now + RegistryView.SKEW ? "it is from the future" : null;
  }
}
