package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Multi-version key-value store: keeps every change in order of its revision, from which the state
 * at any revision that is not compacted can be rebuilt. One revision may change several keys.
 *
 * @param <V> type of the values
 */
final class RevisionedStore<V> {
  /** A value with the revisions that created and last changed its key. */
  record VersionedValue<V>(V value, long createRevision, long modRevision) {}

  /** A write of a key at a revision, or its deletion if {@code versioned} is null. */
  record Change<V>(long revision, String key, VersionedValue<V> versioned) {}

  private final String clusterId;
  private final List<Change<V>> changes = new ArrayList<>();
  private final TreeMap<String, VersionedValue<V>> current = new TreeMap<>();

  /** The state at the compacted revision, from which later states are rebuilt. */
  private final TreeMap<String, VersionedValue<V>> compactedState = new TreeMap<>();

  private long revision = 1;
  private long compactedRevision;

  RevisionedStore(String clusterId) {
    this.clusterId = clusterId;
  }

  /** The id of the cluster to which this history belongs. */
  String clusterId() {
    return clusterId;
  }

  /** Copies the current state and history under the given cluster id, as a backup. */
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

  /** The compacted revision; states at lower revisions cannot be read. */
  long compactedRevision() {
    return compactedRevision;
  }

  /** The current keys and values; a live map that callers must not modify. */
  Map<String, VersionedValue<V>> current() {
    return current;
  }

  /**
   * Writes keys in one transaction; a null value deletes its key. Deleting a key that does not
   * exist is not a change.
   *
   * @return the last revision after the write
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

  /** Compacts the history: discards all states at revisions lower than the given one. */
  void compact(long newCompactedRevision) {
    int index = 0;
    for (; index < changes.size() && changes.get(index).revision <= newCompactedRevision; index++) {
      apply(compactedState, changes.get(index));
    }
    changes.subList(0, index).clear();
    compactedRevision = Math.max(compactedRevision, Math.min(newCompactedRevision, revision));
  }

  /** Rebuilds the state at a revision that is not compacted. */
  NavigableMap<String, VersionedValue<V>> stateAt(long targetRevision) {
    if (targetRevision == revision) {
      return current;
    }
    TreeMap<String, VersionedValue<V>> state = new TreeMap<>(compactedState);
    for (Change<V> change : changes) {
      if (change.revision > targetRevision) {
        break;
      }
      apply(state, change);
    }
    return state;
  }

  /** The changes between two revisions, both inclusive. */
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
