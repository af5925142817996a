package org.amberpath.leadership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;

/**
 * The task of taking purges' keys out of a registry that are past their retention: which, and when
 * to look. Bounds: {@value #MOST} keys at a time; one entry for each purge that the registry holds.
 */
public final class PurgeRetention {
  public static final String TASK = "sweep";
  private static final int MOST = 31;
  private static final long MS = 1_000_000, LONGEST_STEP_MILLIS = 3_600_000;

  /** One key as it was written, and since when it is known to be there. */
  private record Seen(long changed, long since) {}

  private final long retention, every;
  private Map<String, Seen> seen = Map.of();
  private long due;
  private boolean out;

  /** Keys that are older than the retention go; it is looked for them every so often. */
  public PurgeRetention(long retention, long every) {
    this.retention = retention;
    this.every = every;
  }

  /** Whether it is time to look, and nothing is out. */
  public boolean isDue(long now) {
    return !out && now >= due;
  }

  public void sweepStarted() {
    out = true;
  }

  /** More is to be done at once where as many went as may go at a time. */
  public void sweepEnded(long now, int gone) {
    out = false;
    due = gone == MOST ? now : now + every;
  }

  /**
   * What may go, the oldest first: keys that were there for longer than the retention as this
   * process saw it, and those whose stamp says so even if its writer's wall clock and this one are
   * a step off, each to its own side. Guards against a purge that goes while gateways have not
   * heard of it; owners that follow one another need not wait.
   *
   * @param all what the registry holds
   * @param now when that had come, by a clock that only goes forward
   * @param wallMillis the wall clock then
   */
  public List<RegistryEntry> expiredPurges(List<RegistryEntry> all, long now, long wallMillis) {
    long stampedBefore = wallMillis - retention / MS - 2 * LONGEST_STEP_MILLIS;
    Map<String, Seen> there = new HashMap<>();
    for (RegistryEntry one : all) {
      if (one.value() instanceof RegistryRecord.Purge) {
        Seen before = seen.get(one.key());
        there.put(
            one.key(),
            before != null && before.changed == one.modRevision()
                ? before
                : new Seen(one.modRevision(), now));
      }
    }
    seen = there;
    return all.stream()
        .filter(
            one ->
                one.value() instanceof RegistryRecord.Purge purge
                    && (purge.atMs() < stampedBefore
                        || now - there.get(one.key()).since > retention))
        .sorted(Comparator.comparingLong(RegistryEntry::modRevision))
        .limit(MOST)
        .toList();
  }

  /** The fence, if it stands there. */
  public static RegistryEntry findFence(List<RegistryEntry> all, String key) {
    return all.stream()
        .filter(one -> one.key().equals(key) && one.value() instanceof RegistryRecord.Task)
        .findFirst()
        .orElse(null);
  }
}
