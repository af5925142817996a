package org.amberpath.registry;

/**
 * Tracks which resync a session needs: what it must list until the view equals the registry. The
 * needed scope only grows until a list has been applied.
 */
final class WatchResync {
  /** What has to be listed; each scope includes those before it. */
  enum Scope {
    /** Nothing: the watches deliver all changes. */
    NONE,
    /** The keys written after the view's revision. */
    CHANGES,
    /**
     * The same. Watches stay closed until the list is applied, since a compaction has removed the
     * revision at which they would start.
     */
    CHANGES_AFTER_COMPACTION,
    /** All keys at one revision: at the start, and after a loss of contact. */
    ALL_KEYS,
    /** All keys, which replace those of an earlier history of revisions. */
    NEW_HISTORY
  }

  private Scope scope = Scope.ALL_KEYS;

  /** Widens the needed scope to at least this one. */
  void require(Scope needed) {
    if (needed.compareTo(scope) > 0) {
      scope = needed;
    }
  }

  /**
   * Records that a list was applied.
   *
   * @param remaining the scope that is still needed
   */
  void completed(Scope remaining) {
    scope = remaining;
  }

  /** Whether a list is needed. */
  boolean isNeeded() {
    return scope != Scope.NONE;
  }

  /** Whether the list must hold all keys. */
  boolean needsAllKeys() {
    return scope.compareTo(Scope.ALL_KEYS) >= 0;
  }

  /**
   * Whether a new history of revisions has begun, because the registry was restored or replaced.
   */
  boolean isNewHistory() {
    return scope == Scope.NEW_HISTORY;
  }

  /** Whether a watch may start at the revision after the view's. */
  boolean allowsWatches() {
    return scope.compareTo(Scope.CHANGES_AFTER_COMPACTION) < 0;
  }
}
