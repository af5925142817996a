package org.amberpath.leadership;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;

/**
 * The task of deleting purges past their retention from the registry: decides when to sweep the
 * registry, and which purges to delete.
 *
 * <p>Bounds: {@value #MAX_DELETED} deleted keys per sweep; one tracked entry for each purge in the
 * registry.
 */
public final class PurgeRetention {
  /** The task's name. */
  public static final String TASK = "sweep";

  private static final int MAX_DELETED = 31;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The maximum error of a wall clock in either direction. */
  private static final long MAX_CLOCK_STEP_MILLIS = 3_600_000;

  /** The revision at which a key was last written, and when this process first observed it. */
  private record ObservedRevision(long revision, long firstObservedNanos) {}

  private final long retentionNanos;
  private final long intervalNanos;
  private Map<String, ObservedRevision> observed = Map.of();
  private long nextSweepNanos;
  private boolean sweeping;

  /**
   * Creates a task that has not swept yet.
   *
   * @param retentionNanos the retention of a purge in the registry
   * @param intervalNanos the time between two sweeps
   */
  public PurgeRetention(long retentionNanos, long intervalNanos) {
    this.retentionNanos = retentionNanos;
    this.intervalNanos = intervalNanos;
  }

  /** Returns whether a sweep is due, and none is in progress. */
  public boolean isDue(long nowNanos) {
    return !sweeping && nowNanos >= nextSweepNanos;
  }

  /** Records that a sweep has started; it is in progress until {@link #sweepEnded}. */
  public void sweepStarted() {
    sweeping = true;
  }

  /**
   * Records that a sweep has ended. The next is due at once if this one reached the bound of
   * {@value #MAX_DELETED} deleted keys.
   */
  public void sweepEnded(long nowNanos, int deleted) {
    sweeping = false;
    nextSweepNanos = deleted == MAX_DELETED ? nowNanos : nowNanos + intervalNanos;
  }

  /**
   * Returns the purges that may be deleted, the oldest first: those that this process has observed
   * for longer than the retention, and those whose timestamp is past the retention even if the wall
   * clocks of writer and reader are wrong in opposite directions. Guards against deleting a purge
   * that gateways have not seen yet. By the timestamps a new leader need not wait for the retention
   * again.
   *
   * @param entries all entries of the registry
   * @param nowNanos when the entries were read, by the monotonic clock
   * @param wallMillis when the entries were read, by the wall clock
   */
  public List<RegistryEntry> expiredPurges(
      List<RegistryEntry> entries, long nowNanos, long wallMillis) {
    long writtenBeforeMillis =
        wallMillis - retentionNanos / NANOS_PER_MILLI - 2 * MAX_CLOCK_STEP_MILLIS;
    Map<String, ObservedRevision> present = new HashMap<>();
    for (RegistryEntry entry : entries) {
      if (entry.value() instanceof RegistryRecord.Purge) {
        ObservedRevision known = observed.get(entry.key());
        present.put(
            entry.key(),
            known != null && known.revision == entry.modRevision()
                ? known
                : new ObservedRevision(entry.modRevision(), nowNanos));
      }
    }
    observed = present;
    return entries.stream()
        .filter(
            entry ->
                entry.value() instanceof RegistryRecord.Purge purge
                    && (purge.issuedAtMs() < writtenBeforeMillis
                        || nowNanos - present.get(entry.key()).firstObservedNanos > retentionNanos))
        .sorted(Comparator.comparingLong(RegistryEntry::modRevision))
        .limit(MAX_DELETED)
        .toList();
  }

  /**
   * Returns the task's key, whose term fences the deletions.
   *
   * @return the entry; null if the registry has none
   */
  public static RegistryEntry findFence(List<RegistryEntry> entries, String key) {
    return entries.stream()
        .filter(entry -> entry.key().equals(key) && entry.value() instanceof RegistryRecord.Task)
        .findFirst()
        .orElse(null);
  }
}
