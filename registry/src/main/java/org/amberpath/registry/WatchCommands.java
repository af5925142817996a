package org.amberpath.registry;

/**
 * The commands of a {@link WatchSession}, given on its thread. A call is known by its number; it
 * ends with one outcome, which the session is told of, or is cancelled.
 */
public interface WatchCommands {
  /**
   * Reads a page of keys, in their order; a second one of the same call goes on from the first.
   *
   * @param revision the revision to read at; 0 for the newest that a majority of servers has
   * @param after only keys after this one; empty for all
   * @param since only keys written at this revision or later; 0 for all. A protocol that has no
   *     such filter reads all
   * @param limit how many keys a page may hold
   */
  void list(long call, int endpoint, long revision, String after, long since, int limit);

  /** Watches all changes from a revision on, as they are committed. */
  void watch(long call, int endpoint, long from);

  /**
   * Reads the newest revision, and the one at which the tip was last written, as a majority of
   * servers has them.
   */
  void heartbeat(long call, int endpoint);

  /** Gives a call up: the session is told nothing more of it. */
  void cancel(long call);
}
