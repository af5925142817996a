package org.amberpath.registry;

/**
 * Which watch resync a session needs: what has to be read, by pages, before the view is what the
 * registry holds. A need only grows until a list has been applied.
 */
final class WatchResync {
  /** What is to be read; each level includes those before it. */
  enum Scope {
    /** Nothing: watches bring what changes. */
    NONE,
    /** What was written after the view's revision. */
    CHANGES,
    /** The same; watches wait too, since the revision that they would start at was compacted. */
    CHANGES_AFTER_COMPACTION,
    /** All keys, as the snapshot of one revision: at the start, after a loss of contact. */
    ALL_KEYS,
    /** All keys, which replace those of another history of revisions. */
    NEW_HISTORY
  }

  private Scope scope = Scope.ALL_KEYS;

  /** Asks for a resync of this scope at least. */
  void require(Scope needed) {
    if (needed.compareTo(scope) > 0) {
      scope = needed;
    }
  }

  /** A list was applied: nothing is left to be read but what is given. */
  void completed(Scope rest) {
    scope = rest;
  }

  /** Whether anything is to be read. */
  boolean isNeeded() {
    return scope != Scope.NONE;
  }

  /** Whether all keys are to be read. */
  boolean needsAllKeys() {
    return scope.compareTo(Scope.ALL_KEYS) >= 0;
  }

  /** Whether revisions are known to have been given anew. */
  boolean isNewHistory() {
    return scope == Scope.NEW_HISTORY;
  }

  /** Whether a watch may start at the revision after the view's. */
  boolean allowsWatches() {
    return scope.compareTo(Scope.CHANGES_AFTER_COMPACTION) < 0;
  }
}
