package org.amberpath.routing;

import java.util.function.LongToDoubleFunction;

/**
 * An adaptive limit on the concurrent requests to one target. Guards against overload: late
 * responses lower the limit, timely ones raise it. A limit below one request is enforced over time:
 * requests in flight beyond the limit accrue a debt that must be paid off before the next one may
 * be sent. Source: docs/design.md, "Concurrency limits".
 */
final class ConcurrencyLimit {
  /**
   * The priority factor of requests whose responses are not cached. Up to this factor, a limit
   * below one request allows no debt.
   */
  static final double UNCACHED_PRIORITY_FACTOR = 0.8;

  private static final double MIN_SHARE = 1e-3;
  private static final double MIN_LIMIT = 3;
  private static final double DECREASE_FACTOR = 0.8;
  private static final long DECREASE_INTERVAL_NANOS = 200_000_000L;
  private static final double SMOOTHING_SECONDS = 2;
  private static final double REJECTION_DEBT_REQUEST_SECONDS = 1;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * Number of requests in flight; a fraction where a request is only likely to be at this target.
   */
  double inFlight;

  /** Time at which the limit was last lowered, in nanoseconds. */
  long lastDecreaseNanos;

  /** Send time of the latest request that has received a timely response, in nanoseconds. */
  long lastTimelySentNanos;

  private final LongToDoubleFunction capacityFraction;
  private double gatewayShare;
  private double limit;
  private double smoothedInFlight;
  private double debtRequestSeconds;
  private long advancedAtNanos;

  /**
   * Creates a limit of 0; {@link #setShare} sets the initial limit.
   *
   * @param capacityFraction maps a time in nanoseconds to the fraction of the limit that the target
   *     can serve while it warms up, 0 to 1
   */
  ConcurrencyLimit(LongToDoubleFunction capacityFraction) {
    this.capacityFraction = capacityFraction;
  }

  /** Returns how many requests may be in flight once the target is warm. */
  double limit() {
    return limit;
  }

  /**
   * Sets this gateway's share of the target, and the initial limit if there is none. Guards against
   * overload by the sum of many gateways' limits: the share follows from the endpoint list and the
   * number of gateways in the fleet.
   *
   * @param share this gateway's share, as a number of targets
   * @param initialLimit the initial limit for a share of one target
   */
  void setShare(double share, double initialLimit) {
    gatewayShare = Math.max(share, MIN_SHARE);
    limit = limit == 0 ? initialLimit * gatewayShare : limit;
  }

  /**
   * Scales the limit down with a share that has shrunk; a share that has grown leaves the limit as
   * it is. If the previous share was 0, resets the limit to 0, so that {@link #setShare} sets the
   * initial limit again.
   */
  void rescale(double previousShare, double newShare) {
    limit =
        previousShare == 0 ? 0 : Math.max(MIN_SHARE, limit * Math.min(1, newShare / previousShare));
  }

  /**
   * Resets the limit to 0 for a target that has restarted, so that {@link #setShare} sets the
   * initial limit again.
   */
  void reset() {
    limit = 0;
  }

  /** Updates the smoothed number in flight and the debt for the time since the last call. */
  void advanceTo(long nowNanos) {
    double elapsedSeconds = (nowNanos - advancedAtNanos) / NANOS_PER_SECOND;
    advancedAtNanos = nowNanos;
    if (inFlight != 0 || smoothedInFlight != 0) {
      smoothedInFlight +=
          (inFlight - smoothedInFlight) * elapsedSeconds / (elapsedSeconds + SMOOTHING_SECONDS);
    }
    // The debt stays 0 for most targets, which have no requests.
    if (inFlight != 0 || debtRequestSeconds != 0) {
      debtRequestSeconds =
          Math.max(
              0,
              debtRequestSeconds
                  + (inFlight - limit * capacityFraction.applyAsDouble(nowNanos)) * elapsedSeconds);
    }
  }

  /**
   * Whether one more request may be sent.
   *
   * @param priorityFactor the factor by which the request may exceed the limit
   */
  boolean hasRoom(long nowNanos, double priorityFactor) {
    advanceTo(nowNanos);
    double warmedLimit = limit * capacityFraction.applyAsDouble(nowNanos);
    return inFlight < warmedLimit * priorityFactor
        && (inFlight + 1 <= warmedLimit * priorityFactor
            || debtRequestSeconds
                <= warmedLimit * Math.max(0, priorityFactor - UNCACHED_PRIORITY_FACTOR));
  }

  /**
   * Records a rejection, which counts as a late response and as one second in flight. Guards
   * against sending the next request at once, since a quick rejection frees the limit.
   */
  void onRejected(long nowNanos) {
    onResponse(nowNanos, false);
    debtRequestSeconds += REJECTION_DEBT_REQUEST_SECONDS;
  }

  /**
   * Records a response. A late one lowers the limit, starting from what is used, so that a limit
   * that was never reached takes effect at once.
   */
  void onResponse(long nowNanos, boolean inTime) {
    advanceTo(nowNanos);
    if (inTime) {
      limit += debtRequestSeconds > 0 || 2 * inFlight >= limit ? gatewayShare / limit : 0;
    } else if (nowNanos - lastDecreaseNanos > DECREASE_INTERVAL_NANOS) {
      limit =
          Math.max(
              MIN_LIMIT * gatewayShare,
              Math.min(limit, 2 * smoothedInFlight + gatewayShare) * DECREASE_FACTOR);
      lastDecreaseNanos = nowNanos;
    }
  }
}
