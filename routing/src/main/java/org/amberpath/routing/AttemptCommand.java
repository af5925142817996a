package org.amberpath.routing;

/**
 * One attempt that the router has decided to send.
 *
 * @param requestId the request that is sent
 * @param endpoint index of the endpoint that the attempt is sent to
 * @param deadlineNanos clock time at which the attempt times out; 0 or less for the request's own
 *     deadline
 * @param source index of the endpoint that a cache miss is filled from; equal to {@code endpoint}
 *     if a miss is not filled
 * @param maxAgeNanos maximum age of a copy that may be returned, in nanoseconds; 0 for the traffic
 *     class's fresh time
 * @param rank cache rank of the stored copy, 1 to 3; 0 if no copy is stored
 * @param options sum of {@link #COALESCE}, {@link #CACHED_ONLY}, {@link #PARENT_NO_STORE} and
 *     {@link #REVALIDATE}
 */
public record AttemptCommand(
    long requestId,
    int endpoint,
    long deadlineNanos,
    int source,
    long maxAgeNanos,
    int rank,
    int options) {
  /** Option: a miss may be coalesced with a fill that is in flight. */
  public static final int COALESCE = 1;

  /** Option: respond only from a cached copy. */
  public static final int CACHED_ONLY = 2;

  /** Option: a parent that fills the miss stores no copy. */
  public static final int PARENT_NO_STORE = 4;

  /** Option: a stale copy is revalidated at the source instead of being fetched in full. */
  public static final int REVALIDATE = 8;
}
