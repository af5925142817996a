package org.amberpath.registry;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.amberpath.routing.EndpointListener;

/**
 * What a gateway knows of the registry. Lists and watch events are replayed into it; each
 * difference is published once, in the order of revisions, all keys of one revision in one list.
 * Times are nanoseconds since the Unix epoch by one clock that only goes forward. Called on the
 * thread of its {@link WatchSession}.
 *
 * <p>Bounds: those of {@link RegistryKeys}.
 */
public final class RegistryView {
  private final RegistryKeys keys;
  private final EndpointChangePublisher publisher;
  private final String tipKey;
  private final long retentionNanos;
  private String clusterId = "";
  private long revision;
  private long confirmedAtNanos;
  private boolean hasData;

  /**
   * Makes an empty view.
   *
   * @param tipKey the key that each write touches
   * @param maxKeys how many keys are held at most
   * @param retentionNanos how long the registry keeps the key of a purge at least
   * @param log takes a line for each value that can't be read, the key first
   */
  public RegistryView(
      EndpointListener listener,
      String tipKey,
      int maxKeys,
      long retentionNanos,
      Consumer<String> log) {
    this.tipKey = tipKey;
    this.retentionNanos = retentionNanos;
    publisher = new EndpointChangePublisher(listener);
    keys = new RegistryKeys(maxKeys, log);
  }

  /** Whether anything was ever published: from the registry, or from a snapshot. */
  public boolean hasData() {
    return hasData;
  }

  /** All changes up to this revision are in the view. */
  public long appliedRevision() {
    return revision;
  }

  /** The revision at which the tip was last written, as far as the view knows; 0 for never. */
  public long tipRevision() {
    RegistryEntry tip = keys.get(tipKey);
    return tip == null ? 0 : tip.modRevision();
  }

  /** The registry's own id; empty where it has none. */
  public String clusterId() {
    return clusterId;
  }

  /** At this time the view held all that the registry did. */
  public long confirmedAtNanos() {
    return confirmedAtNanos;
  }

  /** How many keys are held. */
  public int keyCount() {
    return keys.count();
  }

  /** What is held, in the order of keys. */
  public Collection<RegistryEntry> entries() {
    return keys.all().values();
  }

  /** The view was found to hold all that the registry did at a time. */
  public void confirm(long asOfNanos) {
    confirmedAtNanos = Math.max(confirmedAtNanos, asOfNanos);
  }

  /** Takes a snapshot from before a restart: it is published in full, with its true age. */
  public void restoreSnapshot(long nowNanos, RegistryListing snapshot) {
    keys.replaceAll(snapshot.entries());
    clusterId = snapshot.clusterId();
    revision = snapshot.revision();
    confirmedAtNanos = snapshot.requestedAtNanos();
    publishAll(nowNanos);
    publisher.publishAllPurges(entries(), nowNanos);
  }

  /**
   * Takes all keys. Publishes the difference, or all where nothing was known or the registry turns
   * out to be another one.
   */
  public void applySnapshot(long nowNanos, RegistryListing listing) {
    boolean isOtherHistory =
        hasData && (!listing.clusterId().equals(clusterId) || hasEarlierWrite(listing.entries()));
    applySnapshot(nowNanos, listing, isOtherHistory);
  }

  /** Takes all keys of another history of revisions: everything before it counts as purged. */
  public void applyNewHistory(long nowNanos, RegistryListing listing) {
    applySnapshot(nowNanos, listing, true);
  }

  private void applySnapshot(long nowNanos, RegistryListing listing, boolean isOtherHistory) {
    boolean isFirst = !hasData;
    boolean isGapTooLong =
        hasData && listing.requestedAtNanos() - confirmedAtNanos > retentionNanos;
    Map<String, RegistryEntry> before = keys.replaceAll(listing.entries());
    keys.keepReadable(isOtherHistory ? Map.of() : before);
    clusterId = listing.clusterId();
    revision = listing.revision();
    if (isFirst) {
      publishAll(nowNanos);
      publisher.publishAllPurges(entries(), nowNanos);
    } else if (isOtherHistory) {
      publishAll(nowNanos);
      publisher.publishNewPurges(before, keys.all(), nowNanos);
    } else {
      TreeSet<String> touched = new TreeSet<>(before.keySet());
      touched.addAll(keys.all().keySet());
      publisher.publishChanges(before, keys.all(), touched, nowNanos);
    }
    // Guards against purges that came and went unseen: their keys are no longer there.
    if (isGapTooLong || (isOtherHistory && !isFirst)) {
      publisher.publishEverythingPurged(nowNanos);
    }
    confirmedAtNanos = listing.requestedAtNanos();
  }

  private void publishAll(long nowNanos) {
    hasData = true;
    publisher.publishAll(entries(), nowNanos);
  }

  /** Whether a key was written earlier than it is known to have been: revisions were given anew. */
  private boolean hasEarlierWrite(Collection<RegistryEntry> listed) {
    return listed.stream()
        .anyMatch(
            entry -> {
              RegistryEntry held = keys.get(entry.key());
              return held != null && entry.modRevision() < held.modRevision();
            });
  }

  /**
   * Replays all keys that were written after {@link #appliedRevision}, as they stand at a revision.
   *
   * @param totalCount how many keys there are in all at that revision
   * @return whether that is the whole difference; otherwise keys were deleted too, and nothing was
   *     replayed
   */
  public boolean applyWrites(long nowNanos, RegistryListing written, long totalCount) {
    long newKeys = written.entries().stream().filter(entry -> !keys.contains(entry.key())).count();
    if (keys.isOverfull() || keys.count() + newKeys != totalCount) {
      return false;
    }
    Map<String, RegistryEntry> before = new TreeMap<>();
    written.entries().forEach(entry -> keys.put(entry, before));
    revision = Math.max(revision, written.revision());
    publisher.publishChanges(before, keys.all(), before.keySet(), nowNanos);
    confirm(written.requestedAtNanos());
    return true;
  }

  /** Replays the events of a watch, in the order of their revisions; known ones are passed over. */
  public void applyEvents(long nowNanos, List<WatchEvent> events) {
    int next = 0;
    while (next < events.size()) {
      long eventRevision = events.get(next).revision();
      int first = next;
      while (next < events.size() && events.get(next).revision() == eventRevision) {
        next++;
      }
      if (eventRevision > revision) {
        replayRevision(nowNanos, eventRevision, events.subList(first, next));
      }
    }
  }

  private void replayRevision(long nowNanos, long eventRevision, List<WatchEvent> events) {
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

  /** Nothing of these keys changed up to a revision. */
  public void advanceTo(long unchangedRevision) {
    revision = Math.max(revision, unchangedRevision);
  }
}
