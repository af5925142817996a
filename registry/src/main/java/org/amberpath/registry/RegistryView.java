package org.amberpath.registry;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.amberpath.routing.EndpointListener;

/**
 * A gateway's in-memory copy of the registry. Lists and watch events are applied to it; each
 * difference is published once, in the order of revisions, all keys of one revision in one list.
 * Times are nanoseconds since the Unix epoch, read from one monotonic clock. Called on the thread
 * of its {@link WatchSession}.
 *
 * <p>Bounds: those of {@link RegistryKeys}.
 */
public final class RegistryView {
  private final RegistryKeys keys;
  private final EndpointChangePublisher publisher;
  private final String tipKey;
  private final long purgeRetentionNanos;
  private String clusterId = "";
  private long revision;
  private long confirmedAtNanos;
  private boolean hasData;

  /**
   * Creates an empty view.
   *
   * @param tipKey the key that each write touches
   * @param maxKeys maximum number of keys
   * @param purgeRetentionNanos the shortest time for which the registry keeps the key of a purge
   * @param log receives a line for each value that can't be decoded, beginning with its key, and
   *     one when the registry holds more keys than the maximum
   */
  public RegistryView(
      EndpointListener listener,
      String tipKey,
      int maxKeys,
      long purgeRetentionNanos,
      Consumer<String> log) {
    this.tipKey = tipKey;
    this.purgeRetentionNanos = purgeRetentionNanos;
    publisher = new EndpointChangePublisher(listener);
    keys = new RegistryKeys(maxKeys, log);
  }

  /** Whether endpoints were ever published, from the registry or from a snapshot. */
  public boolean hasData() {
    return hasData;
  }

  /** The revision up to which the view includes all changes. */
  public long appliedRevision() {
    return revision;
  }

  /**
   * The revision at which the tip was last written, as the view has it; 0 if it was never written.
   */
  public long tipRevision() {
    RegistryEntry tip = keys.get(tipKey);
    return tip == null ? 0 : tip.modRevision();
  }

  /** The registry's cluster id; empty if it has none. */
  public String clusterId() {
    return clusterId;
  }

  /** When the view was last known to hold all that the registry held. */
  public long confirmedAtNanos() {
    return confirmedAtNanos;
  }

  /** Number of keys in the view. */
  public int keyCount() {
    return keys.count();
  }

  /** All entries, ordered by key. */
  public Collection<RegistryEntry> entries() {
    return keys.all().values();
  }

  /** Records that the view held all that the registry held at the given time. */
  public void confirm(long asOfNanos) {
    confirmedAtNanos = Math.max(confirmedAtNanos, asOfNanos);
  }

  /**
   * Restores the view from a snapshot that was written before a restart, and publishes it in full.
   * The view keeps the age of the snapshot.
   */
  public void restoreSnapshot(long nowNanos, RegistryListing snapshot) {
    keys.replaceAll(snapshot.entries());
    clusterId = snapshot.clusterId();
    revision = snapshot.revision();
    confirmedAtNanos = snapshot.requestedAtNanos();
    publishAll(nowNanos);
    publisher.publishAllPurges(entries(), nowNanos);
  }

  /**
   * Replaces the view by a list of all keys. Publishes the difference, or everything if the view
   * was empty or the list shows that the registry was replaced or restored.
   */
  public void applySnapshot(long nowNanos, RegistryListing listing) {
    boolean isNewHistory =
        hasData && (!listing.clusterId().equals(clusterId) || hasEarlierWrite(listing.entries()));
    applySnapshot(nowNanos, listing, isNewHistory);
  }

  /**
   * Replaces the view by all keys of a new history of revisions; all copies from before then count
   * as purged.
   */
  public void applyNewHistory(long nowNanos, RegistryListing listing) {
    applySnapshot(nowNanos, listing, true);
  }

  private void applySnapshot(long nowNanos, RegistryListing listing, boolean isNewHistory) {
    boolean isFirst = !hasData;
    boolean isGapTooLong =
        hasData && listing.requestedAtNanos() - confirmedAtNanos > purgeRetentionNanos;
    Map<String, RegistryEntry> before = keys.replaceAll(listing.entries());
    keys.keepReadable(isNewHistory ? Map.of() : before);
    clusterId = listing.clusterId();
    revision = listing.revision();
    if (isFirst) {
      publishAll(nowNanos);
      publisher.publishAllPurges(entries(), nowNanos);
    } else if (isNewHistory) {
      publishAll(nowNanos);
      publisher.publishNewPurges(before, keys.all(), nowNanos);
    } else {
      TreeSet<String> changedKeys = new TreeSet<>(before.keySet());
      changedKeys.addAll(keys.all().keySet());
      publisher.publishChanges(before, keys.all(), changedKeys, nowNanos);
    }
    // Guards against purges that were written and expired unseen: their keys no longer exist.
    if (isGapTooLong || (isNewHistory && !isFirst)) {
      publisher.publishEverythingPurged(nowNanos);
    }
    confirmedAtNanos = listing.requestedAtNanos();
  }

  private void publishAll(long nowNanos) {
    hasData = true;
    publisher.publishAll(entries(), nowNanos);
  }

  /**
   * Whether a listed key has a lower modification revision than the view holds for it, which shows
   * a new history of revisions.
   */
  private boolean hasEarlierWrite(Collection<RegistryEntry> listed) {
    return listed.stream()
        .anyMatch(
            entry -> {
              RegistryEntry held = keys.get(entry.key());
              return held != null && entry.modRevision() < held.modRevision();
            });
  }

  /**
   * Applies all keys written after {@link #appliedRevision}, as they are at one revision.
   *
   * @param totalCount number of keys in the registry at that revision
   * @return whether these keys are the complete difference; if false, keys were deleted too, and
   *     nothing was applied
   */
  public boolean applyWrites(long nowNanos, RegistryListing written, long totalCount) {
    long newKeys = written.entries().stream().filter(entry -> !keys.contains(entry.key())).count();
    if (keys.isTruncated() || keys.count() + newKeys != totalCount) {
      return false;
    }
    Map<String, RegistryEntry> before = new TreeMap<>();
    written.entries().forEach(entry -> keys.put(entry, before));
    revision = Math.max(revision, written.revision());
    publisher.publishChanges(before, keys.all(), before.keySet(), nowNanos);
    confirm(written.requestedAtNanos());
    return true;
  }

  /**
   * Applies the events of a watch in the order of their revisions; events up to {@link
   * #appliedRevision} are skipped.
   */
  public void applyEvents(long nowNanos, List<WatchEvent> events) {
    int next = 0;
    while (next < events.size()) {
      long eventRevision = events.get(next).revision();
      int first = next;
      while (next < events.size() && events.get(next).revision() == eventRevision) {
        next++;
      }
      if (eventRevision > revision) {
        applyRevision(nowNanos, eventRevision, events.subList(first, next));
      }
    }
  }

  private void applyRevision(long nowNanos, long eventRevision, List<WatchEvent> events) {
    Map<String, RegistryEntry> before = new TreeMap<>();
    for (WatchEvent event : events) {
      if (event.entry() == null) {
        keys.remove(event.key(), before);
      } else {
        keys.put(event.entry(), before);
      }
    }
    revision = eventRevision;
    publisher.publishChanges(before, keys.all(), before.keySet(), nowNanos);
  }

  /** Advances the view to a revision up to which none of its keys has changed. */
  public void advanceTo(long unchangedRevision) {
    revision = Math.max(revision, unchangedRevision);
  }
}
