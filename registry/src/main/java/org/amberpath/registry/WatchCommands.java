package org.amberpath.registry;

/**
 * What the recovery has the live half do. A call is known by its number, and ends with one outcome
 * or is dropped.
 */
public interface WatchCommands {
  /**
   * Reads keys, in the order of their names.
   *
   * @param revision the revision to read at; 0 for the newest that a majority has
   * @param after only keys after this one; empty for all
   * @param since only keys written at this revision or later; 0 for all. A source that can't tell
   *     reads all
   * @param limit how many keys an answer may hold
   */
  void list(long call, int endpoint, long revision, String after, long since, int limit);

  /** Has all changes from a revision on told as they come. */
  void watch(long call, int endpoint, long from);

  /** Asks what the newest revision is, and at which the tip was written, as a majority has it. */
  void heartbeat(long call, int endpoint);

  /** Gives a call up; nothing more may be heard of it. */
  void cancel(long call);
}
