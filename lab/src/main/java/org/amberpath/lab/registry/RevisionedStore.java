package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * What a key-value registry with revisions holds: every change in order, from which any state that
 * is not compacted can be had. One revision may change several keys.
 *
 * @param <V> a key's value
 */
final class RevisionedStore<V> {
  /** A value with the revisions that created and last changed its key. */
  record VersionedValue<V>(V value, long createRevision, long modRevision) {}

  /** A key that was written at a revision, or deleted where {@code versioned} is null. */
  record Change<V>(long revision, String key, VersionedValue<V> versioned) {}

  private final String clusterId;
  private final List<Change<V>> changes = new ArrayList<>();
  private final TreeMap<String, VersionedValue<V>> current = new TreeMap<>();

  /** The state at the revision below which nothing is kept. */
  private final TreeMap<String, VersionedValue<V>> compactedState = new TreeMap<>();

  private long revision = 1;
  private long compactedRevision;

  RevisionedStore(String clusterId) {
    this.clusterId = clusterId;
  }

  /** The id of the cluster whose history this is. */
  String clusterId() {
    return clusterId;
  }

  /** A copy as of now under another cluster's id or its own: what a backup is. */
  RevisionedStore<V> copyAs(String copyClusterId) {
    RevisionedStore<V> copy = new RevisionedStore<>(copyClusterId);
    copy.changes.addAll(changes);
    copy.current.putAll(current);
    copy.compactedState.putAll(compactedState);
    copy.revision = revision;
    copy.compactedRevision = compactedRevision;
    return copy;
  }

  /** The last revision. */
  long revision() {
    return revision;
  }

  /** The revision below which nothing is kept. */
  long compactedRevision() {
    return compactedRevision;
  }

  /** The keys as they are now; not to be changed. */
  Map<String, VersionedValue<V>> current() {
    return current;
  }

  /**
   * Writes keys in one transaction; a null value deletes. A deletion of what is not there is no
   * change.
   */
  long write(Map<String, V> writes) {
    long nextRevision = revision + 1;
    writes.forEach(
        (key, value) -> {
          VersionedValue<V> previous = current.get(key);
          if (value != null) {
            VersionedValue<V> versioned =
                new VersionedValue<>(
                    value, previous == null ? nextRevision : previous.createRevision, nextRevision);
            current.put(key, versioned);
            changes.add(new Change<>(nextRevision, key, versioned));
            revision = nextRevision;
          } else if (previous != null) {
            current.remove(key);
            changes.add(new Change<>(nextRevision, key, null));
            revision = nextRevision;
          }
        });
    return revision;
  }

  /** Forgets all states below a revision. */
  void compact(long upTo) {
    int index = 0;
    for (; index < changes.size() && changes.get(index).revision <= upTo; index++) {
      apply(compactedState, changes.get(index));
    }
    changes.subList(0, index).clear();
    compactedRevision = Math.max(compactedRevision, Math.min(upTo, revision));
  }

  /** The state at a revision that is not compacted. */
  NavigableMap<String, VersionedValue<V>> stateAt(long wantedRevision) {
    if (wantedRevision == revision) {
      return current;
    }
    TreeMap<String, VersionedValue<V>> state = new TreeMap<>(compactedState);
    for (Change<V> change : changes) {
      if (change.revision > wantedRevision) {
        break;
      }
      apply(state, change);
    }
    return state;
  }

  /** Changes from a revision to another, both included. */
  List<Change<V>> changesBetween(long fromRevision, long toRevision) {
    int low = 0;
    int high = changes.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (changes.get(middle).revision < fromRevision) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    int end = low;
    while (end < changes.size() && changes.get(end).revision <= toRevision) {
      end++;
    }
    return changes.subList(low, end);
  }

  private static <V> void apply(Map<String, VersionedValue<V>> state, Change<V> change) {
    if (change.versioned == null) {
      state.remove(change.key);
    } else {
      state.put(change.key, change.versioned);
    }
  }
}
