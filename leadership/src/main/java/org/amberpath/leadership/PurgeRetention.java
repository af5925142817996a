package org.amberpath.leadership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;

/**
 * The task of deleting purges past their retention from the registry: which, and when to look.
 *
 * <p>Bounds: {@value #MAX_DELETED} keys at a time; one remembered entry for each purge in the
 * registry.
 */
public final class PurgeRetention {
  /** The task's name. */
  public static final String TASK = "sweep";

  private static final int MAX_DELETED = 31;
  private static final long MS = 1_000_000;

  /** By how much a wall clock may be wrong, to either side. */
  private static final long MAX_CLOCK_STEP_MILLIS = 3_600_000;

  /** A key as it was last written, and since when this process knows it. */
  private record Observed(long revision, long sinceNanos) {}

  private final long retentionNanos;
  private final long intervalNanos;
  private Map<String, Observed> observed = Map.of();
  private long nextSweepNanos;
  private boolean sweeping;

  /**
   * A task that has not looked yet.
   *
   * @param retentionNanos how long a purge stays in the registry
   * @param intervalNanos between two looks
   */
  public PurgeRetention(long retentionNanos, long intervalNanos) {
    this.retentionNanos = retentionNanos;
    this.intervalNanos = intervalNanos;
  }

  /** Whether it is time to look, and no sweep is under way. */
  public boolean isDue(long nowNanos) {
    return !sweeping && nowNanos >= nextSweepNanos;
  }

  /** A sweep is under way until {@link #sweepEnded}. */
  public void sweepStarted() {
    sweeping = true;
  }

  /** A sweep has ended; the next is due at once where this one has deleted all that it may. */
  public void sweepEnded(long nowNanos, int deleted) {
    sweeping = false;
    nextSweepNanos = deleted == MAX_DELETED ? nowNanos : nowNanos + intervalNanos;
  }

  /**
   * The purges that may be deleted, the oldest first: those that this process has known for longer
   * than the retention, and those whose timestamp says so even if the wall clocks of writer and
   * reader are wrong in opposite directions. Guards against deleting a purge that gateways have not
   * seen yet; a new leader need not wait for the retention again.
   *
   * @param entries all that the registry holds
   * @param nowNanos when they were read, by the monotonic clock
   * @param wallMillis the wall clock then
   */
  public List<RegistryEntry> expiredPurges(
      List<RegistryEntry> entries, long nowNanos, long wallMillis) {
    long writtenBeforeMillis = wallMillis - retentionNanos / MS - 2 * MAX_CLOCK_STEP_MILLIS;
    Map<String, Observed> present = new HashMap<>();
    for (RegistryEntry entry : entries) {
      if (entry.value() instanceof RegistryRecord.Purge) {
        Observed known = observed.get(entry.key());
        present.put(
            entry.key(),
            known != null && known.revision == entry.modRevision()
                ? known
                : new Observed(entry.modRevision(), nowNanos));
      }
    }
    observed = present;
    return entries.stream()
        .filter(
            entry ->
                entry.value() instanceof RegistryRecord.Purge purge
                    && (purge.atMs() < writtenBeforeMillis
                        || nowNanos - present.get(entry.key()).sinceNanos > retentionNanos))
        .sorted(Comparator.comparingLong(RegistryEntry::modRevision))
        .limit(MAX_DELETED)
        .toList();
  }

  /**
   * The task's key, which holds the term that deletions are fenced by.
   *
   * @return null where the registry has none
   */
  public static RegistryEntry findFence(List<RegistryEntry> entries, String key) {
    return entries.stream()
        .filter(entry -> entry.key().equals(key) && entry.value() instanceof RegistryRecord.Task)
        .findFirst()
        .orElse(null);
  }
}
