package org.amberpath.routing;

import java.util.function.LongToDoubleFunction;

/**
 * How many requests are and may be in flight at once towards one target. Guards against overload:
 * late responses cut the limit, prompt ones widen it. A limit under one request holds over time:
 * what was in flight beyond it is a debt that is paid off before the next one may be sent. Source:
 * docs/design.md, "Concurrency limits".
 */
final class ConcurrencyLimit {
  /**
   * The priority factor of requests that are not cached; up to it, a limit under one request allows
   * no debt at all.
   */
  static final double UNCACHED_FACTOR = 0.8;

  private static final double MIN_SHARE = 1e-3;
  private static final double MIN_LIMIT = 3;
  private static final double DECREASE_FACTOR = 0.8;
  private static final long DECREASE_INTERVAL_NANOS = 200_000_000L;
  private static final double SMOOTHING_SECONDS = 2;
  private static final double REJECTION_DEBT = 1;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * How many are in flight; a fraction where it is only likely that a request is at this target.
   */
  double inFlight;

  /** When the limit was last cut, in nanoseconds. */
  long lastDecreaseNanos;

  /** When the latest request with a response in time was sent, in nanoseconds. */
  long lastPromptSentNanos;

  private final LongToDoubleFunction capacityFraction;
  private double gatewayShare;
  private double limit;
  private double smoothedInFlight;
  private double debt;
  private long advancedAtNanos;

  /**
   * A limit that has yet to be given its share.
   *
   * @param capacityFraction by time, the fraction of the limit that the target can serve while it
   *     warms up, 0 to 1
   */
  ConcurrencyLimit(LongToDoubleFunction capacityFraction) {
    this.capacityFraction = capacityFraction;
  }

  /** How many may be in flight once the target is warm. */
  double limit() {
    return limit;
  }

  /**
   * Guards against the sum of many gateways' limits: this gateway's share follows from the list and
   * the fleet.
   *
   * @param share this gateway's part of the target, in targets
   * @param initialLimit where to begin, a whole target being this gateway's
   */
  void setShare(double share, double initialLimit) {
    gatewayShare = Math.max(share, MIN_SHARE);
    limit = limit == 0 ? initialLimit * gatewayShare : limit;
  }

  /**
   * A share that was revoked and is granted again starts anew; one that shrank shrinks the limit.
   */
  void rescale(double fromShare, double toShare) {
    limit = fromShare == 0 ? 0 : Math.max(MIN_SHARE, limit * Math.min(1, toShare / fromShare));
  }

  /** Starts anew, for a target that has restarted. */
  void reset() {
    limit = 0;
  }

  /** Accounts for the time that passed since the last call. */
  void advanceTo(long nowNanos) {
    double passedSeconds = (nowNanos - advancedAtNanos) / NANOS_PER_SECOND;
    advancedAtNanos = nowNanos;
    if (inFlight != 0 || smoothedInFlight != 0) {
      smoothedInFlight +=
          (inFlight - smoothedInFlight) * passedSeconds / (passedSeconds + SMOOTHING_SECONDS);
    }
    if (inFlight != 0 || debt != 0) { // Stays 0 for most targets, which carry nothing.
      debt =
          Math.max(
              0,
              debt + (inFlight - limit * capacityFraction.applyAsDouble(nowNanos)) * passedSeconds);
    }
  }

  /** Whether one more may be sent, by a request that may pass the limit by the given factor. */
  boolean hasRoom(long nowNanos, double priorityFactor) {
    advanceTo(nowNanos);
    double room = limit * capacityFraction.applyAsDouble(nowNanos);
    return inFlight < room * priorityFactor
        && (inFlight + 1 <= room * priorityFactor
            || debt <= room * Math.max(0, priorityFactor - UNCACHED_FACTOR));
  }

  /**
   * A rejection counts as one second in flight. Guards against sending the next request at once,
   * since a quick rejection leaves the limit free.
   */
  void onRejected(long nowNanos) {
    onResponse(nowNanos, false);
    debt += REJECTION_DEBT;
  }

  /**
   * A response came in time or late. A late one cuts from what is used, so that a limit that was
   * never reached binds at once.
   */
  void onResponse(long nowNanos, boolean inTime) {
    advanceTo(nowNanos);
    if (inTime) {
      limit += debt > 0 || 2 * inFlight >= limit ? gatewayShare / limit : 0;
    } else if (nowNanos - lastDecreaseNanos > DECREASE_INTERVAL_NANOS) {
      limit =
          Math.max(
              MIN_LIMIT * gatewayShare,
              Math.min(limit, 2 * smoothedInFlight + gatewayShare) * DECREASE_FACTOR);
      lastDecreaseNanos = nowNanos;
    }
  }
}
