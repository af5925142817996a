package org.amberpath.routing;

/**
 * One attempt that the router has decided to make.
 *
 * @param requestId the request that is sent
 * @param endpoint index of the endpoint that the attempt goes to
 * @param deadlineNanos clock time at which the attempt times out; 0 or less for the request's own
 * @param source index of the endpoint that a miss is filled from; the endpoint itself for no fill
 * @param maxAgeNanos the oldest copy that will do; 0 for the traffic class's fresh time
 * @param rank rank of the copy that is kept, 1 to 3; 0 keeps none
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
  /** Option: a miss may be coalesced with a fill that is under way. */
  public static final int COALESCE = 1;

  /** Option: answer from a cached copy or not at all. */
  public static final int CACHED_ONLY = 2;

  /** Option: a parent that fills the miss stores no copy. */
  public static final int PARENT_NO_STORE = 4;

  /** Option: a stale copy is revalidated at the source instead of being fetched whole. */
  public static final int REVALIDATE = 8;
}
