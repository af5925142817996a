package org.amberpath.registry;

/**
 * The requests that a {@link WatchSession} issues, on its own thread. A call is identified by its
 * id. It ends with one outcome, which the implementation passes to the session, or is cancelled.
 */
public interface WatchCommands {
  /**
   * Reads a page of keys in their order. A second request with the same call id reads the next
   * page.
   *
   * @param revision the revision to read at; 0 for a linearizable read of the newest one
   * @param afterKey only keys after this one; empty for all
   * @param sinceRevision only keys written at this revision or later; 0 for all. A protocol without
   *     such a filter reads all keys
   * @param pageSize maximum number of keys in the page
   */
  void list(
      long callId, int endpoint, long revision, String afterKey, long sinceRevision, int pageSize);

  /** Watches all changes from a revision on. */
  void watch(long callId, int endpoint, long fromRevision);

  /**
   * Reads the registry's newest revision and the one at which the tip was last written,
   * linearizably.
   */
  void heartbeat(long callId, int endpoint);

  /** Cancels a call: the session receives nothing more for it. */
  void cancel(long callId);
}
