package org.amberpath.routing;

/**
 * Takes a gateway's decisions, in the order in which they are to be carried out. Times are
 * nanoseconds.
 */
public interface RoutingActions {
  /** Switches of a forward, to be added up. */
  int COALESCE = 1;

  int CACHED_ONLY = 2;
  int PARENT_NO_STORE = 4;
  int REVALIDATE = 8;

  /**
   * Sends a GET to a cache.
   *
   * @param until clock time at which to give this forward up
   * @param source who fills a miss; the cache itself for no fill
   * @param age the oldest copy that will do; 0 for the delivery service's fresh time
   * @param rank rank of the copy kept, 1 to 3; 0 keeps none
   */
  void sendAttempt(long get, int cache, long until, int source, long age, int rank, int switches);

  /**
   * Forwards of this GET that follow begin by this clock time or not at all, however long one waits
   * to be sent.
   */
  default void limitRetryStart(long get, long time) {}

  /** Final answer: not run, safe to try again, best after the given wait (0: no advice). */
  void reject(long get, long wait);

  /** Final answer that promises nothing. */
  void fail(long get);

  void cancelAttempt(long get, int copy);

  void scheduleTimer(long delay, String handle);

  /** Asks for changes of the list from now on. */
  void subscribeEndpoints();

  /** How an edge cache is, as far as is seen here; told when it changes, or may have. */
  default void endpointHealthChanged(int cache, EndpointHealthStatus health) {}

  /** An edge cache of the zone has just started, and bears less than all until this clock time. */
  default void endpointWarmingUp(int cache, long until) {}
}
