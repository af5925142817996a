package org.amberpath.routing;

/**
 * How long a response may take before its attempt counts as overdue: by the object's size, else by
 * earlier responses.
 */
final class PatienceEstimator {
  private static final double NANOS_PER_SECOND = 1e9;

  private final ObjectHistory history;
  private final double kilobytesPerSecond;

  /** An estimator for transfers at that rate; 0 where the rate is not known. */
  PatienceEstimator(ObjectHistory history, double kilobytesPerSecond) {
    this.history = history;
    this.kilobytesPerSecond = kilobytesPerSecond;
  }

  /**
   * Sets a request's patience; its class learns the duration where that follows from the size (0:
   * not known).
   */
  void estimate(InFlightRequest request, double kilobytes) {
    TrafficClass trafficClass = request.trafficClass;
    long transferNanos =
        kilobytes > 0 && kilobytesPerSecond > 0
            ? (long) (kilobytes / kilobytesPerSecond * NANOS_PER_SECOND)
            : 0;
    long workNanos =
        transferNanos > 0 ? transferNanos : history.shortestResponseNanos(request.object);
    request.sizeKnown = transferNanos > 0;
    request.durationKnown = workNanos > 0;
    request.patienceNanos =
        trafficClass.latencyObjectiveNanos()
            + (long)
                (trafficClass.latencyStretch()
                    * (request.durationKnown ? workNanos : trafficClass.workNanos()));
    if (request.sizeKnown) {
      trafficClass.recordDuration(transferNanos);
    }
  }
}
