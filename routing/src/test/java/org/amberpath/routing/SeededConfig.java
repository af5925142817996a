package org.amberpath.routing;

import java.util.Optional;

/** The configuration of the gateway in a {@link SeededWorld}, which depends on the setting. */
final class SeededConfig implements RoutingConfig {
  /**
   * Selects the gateway's configuration and its traffic. The ordinals are part of the random seeds,
   * and so of the recorded digests.
   */
  enum Setting {
    /** A single gateway; hedging, cancellation, weights, a transfer rate and many objects. */
    ALONE,
    /** One of 20 gateways in the zone and 60 in all; all features, and copies that expire. */
    TWENTY,
    /**
     * No weights, cancellation, transfer rate or Retry-After; the endpoint list is subscribed to,
     * and bypass is allowed.
     */
    PLAIN,
    /** No hedging, parents or coalescing; four edge caches that are mostly overloaded. */
    NARROW
  }

  static final int TRAFFIC_CLASSES = 6;
  private static final long MS = 1_000_000L;

  private final Setting setting;
  private final long seed;

  SeededConfig(Setting setting, long seed) {
    this.setting = setting;
    this.seed = seed;
  }

  Setting setting() {
    return setting;
  }

  @Override
  public long seed() {
    return seed;
  }

  @Override
  public int gateways() {
    return setting == Setting.ALONE ? 1 : setting == Setting.TWENTY ? 60 : 3;
  }

  @Override
  public int gatewaysInZone() {
    return setting == Setting.TWENTY ? 20 : 1;
  }

  @Override
  public String zone() {
    return "here";
  }

  @Override
  public Optional<String> parentKind() {
    return setting == Setting.NARROW ? Optional.empty() : Optional.of("parent");
  }

  @Override
  public Optional<String> originKind() {
    return Optional.of("origin");
  }

  @Override
  public boolean weightIsSize() {
    return setting != Setting.PLAIN;
  }

  @Override
  public boolean requiresEndpointSubscription() {
    return setting == Setting.PLAIN;
  }

  @Override
  public int trafficClassCount() {
    return TRAFFIC_CLASSES;
  }

  @Override
  public boolean bypassAllowed() {
    return setting == Setting.PLAIN || setting == Setting.TWENTY;
  }

  @Override
  public boolean coalescing() {
    return setting != Setting.NARROW;
  }

  @Override
  public double transferKilobytesPerSecond() {
    return setting == Setting.PLAIN ? 0 : 1500;
  }

  @Override
  public long purgeRetentionNanos() {
    return 6000 * MS;
  }

  @Override
  public long overloadWindowNanos() {
    return 1000 * MS;
  }

  @Override
  public TrafficClassConfig trafficClass(int index) {
    boolean copiesExpire = setting == Setting.TWENTY;
    return new TrafficClassConfig(
        idempotency(index),
        index == 1
            ? IdempotencyScope.ALL
            : index == 2 ? IdempotencyScope.ZONE : IdempotencyScope.CELL,
        index == 3 ? 100 * MS : 1000 * MS,
        (100 + 50L * index) * MS,
        2,
        1 + index % 3,
        index == 5,
        copiesExpire ? (index + 1) * 1000L * MS : 0,
        copiesExpire ? 4000 * MS : 0);
  }

  private static Idempotency idempotency(int index) {
    return index == 0 || index == 5
        ? Idempotency.IDEMPOTENT
        : index == 4 ? Idempotency.NON_IDEMPOTENT : Idempotency.IDEMPOTENCY_KEY;
  }

  @Override
  public RetryConfig retries() {
    return new RetryConfig(
        setting == Setting.NARROW ? 2 : 4,
        setting != Setting.NARROW,
        setting != Setting.PLAIN,
        setting != Setting.PLAIN,
        500 * MS);
  }

  @Override
  public SlowStartConfig edgeSlowStart() {
    return new SlowStartConfig(0.1, 8_000 * MS, 3);
  }

  @Override
  public SlowStartConfig parentSlowStart() {
    return new SlowStartConfig(0.2, 5_000 * MS, 2);
  }
}
