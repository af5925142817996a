package org.amberpath.routing;

/**
 * Estimates a request's soft timeout, after which an attempt without a response is overdue: from
 * the object's size or, if the size is unknown, from earlier responses.
 */
final class SoftTimeoutEstimator {
  private static final double NANOS_PER_SECOND = 1e9;

  private final ObjectHistory history;
  private final double kilobytesPerSecond;

  /**
   * Creates an estimator.
   *
   * @param kilobytesPerSecond the transfer rate; 0 if it is unknown
   */
  SoftTimeoutEstimator(ObjectHistory history, double kilobytesPerSecond) {
    this.history = history;
    this.kilobytesPerSecond = kilobytesPerSecond;
  }

  /**
   * Sets a request's soft timeout. If the transfer time can be computed from the response's size,
   * it is also recorded in the request's traffic class.
   *
   * @param kilobytes size of the response; 0 if it is unknown
   */
  void estimate(InFlightRequest request, double kilobytes) {
    TrafficClass trafficClass = request.trafficClass;
    long transferNanos =
        kilobytes > 0 && kilobytesPerSecond > 0
            ? (long) (kilobytes / kilobytesPerSecond * NANOS_PER_SECOND)
            : 0;
    long workNanos =
        transferNanos > 0 ? transferNanos : history.shortestResponseNanos(request.object);
    request.durationKnownFromSize = transferNanos > 0;
    request.canJudgeLatency = workNanos > 0;
    request.softTimeoutNanos =
        trafficClass.latencyObjectiveNanos()
            + (long)
                (trafficClass.latencyStretch()
                    * (request.canJudgeLatency ? workNanos : trafficClass.workNanos()));
    if (request.durationKnownFromSize) {
      trafficClass.recordDuration(transferNanos);
    }
  }
}
