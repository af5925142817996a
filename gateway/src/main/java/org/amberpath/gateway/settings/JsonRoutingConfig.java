package org.amberpath.gateway.settings;

import java.util.ArrayList;
import java.util.List;
import org.amberpath.routing.Idempotency;
import org.amberpath.routing.IdempotencyScope;
import org.amberpath.routing.RoutingConfig;

/**
 * The routing configuration that a gateway is started with, decoded once from the platform's JSON.
 * Immutable. Durations are nanoseconds.
 */
public final class JsonRoutingConfig implements RoutingConfig {
  /** The settings of one traffic class. */
  private record TrafficClass(
      String name,
      Idempotency effect,
      IdempotencyScope group,
      long windowNanos,
      long latencyObjectiveNanos,
      long freshNanos,
      long graceNanos,
      double latencyStretch,
      double revenue,
      boolean uncacheable) {

    /** Decodes the class at an index; settings of the site hold some of its values. */
    static TrafficClass decode(JsonReader settings, JsonReader site, int index) {
      return new TrafficClass(
          settings.string("name"),
          effect(settings),
          group(settings),
          settings.durationNanosOr("window-s", 0),
          settings.durationNanos("target-s"),
          nanosAt(site, "class-fresh-s", index),
          nanosAt(site, "class-grace-s", index),
          settings.doubleOr("aim-stretch", 0),
          settings.doubleOr("points", 1),
          site.elementOr("never-kept", index, Boolean.class, false));
    }

    private static long nanosAt(JsonReader site, String key, int index) {
      return JsonReader.secondsToNanos(site.elementOr(key, index, Number.class, 0).doubleValue());
    }

    private static Idempotency effect(JsonReader settings) {
      String idempotency = settings.string("idempotency");
      return switch (idempotency) {
        case "repeatable" -> Idempotency.IDEMPOTENT;
        case "by_key" -> Idempotency.IDEMPOTENCY_KEY;
        case "once" -> Idempotency.NON_IDEMPOTENT;
        default -> throw settings.invalid("idempotency", UNKNOWN_KIND + idempotency);
      };
    }

    private static IdempotencyScope group(JsonReader settings) {
      String group = settings.has("group") ? settings.string("group") : "cell";
      return switch (group) {
        case "all" -> IdempotencyScope.ALL;
        case "zone" -> IdempotencyScope.ZONE;
        case "cell" -> IdempotencyScope.CELL;
        default -> throw settings.invalid("group", UNKNOWN_KIND + group);
      };
    }
  }

  private static final String UNKNOWN_KIND = "of no known kind: ";

  private final long seed;
  private final String zone;
  private final int gateways;
  private final int gatewaysInZone;
  private final String parentKind;
  private final String originKind;
  private final boolean weightIsSize;
  private final boolean listOnRequest;
  private final int maxAttempts;
  private final boolean hedging;
  private final boolean cancellation;
  private final boolean retryAfter;
  private final long maxRetryAfterNanos;
  private final boolean bypass;
  private final boolean collapsing;
  private final double transferKbPerSecond;
  private final long purgeRetentionNanos;
  private final SlowStart slowStart;
  private final SlowStart parentSlowStart;
  private final long burstNanos;
  private final List<TrafficClass> trafficClasses;

  /**
   * Slow start of caches that are warming up.
   *
   * @param initialShare share of the load at the start
   * @param durationNanos how long it takes to the full load
   * @param overloadFactor multiple of the capacity at which a cache is overloaded
   */
  private record SlowStart(double initialShare, long durationNanos, double overloadFactor) {}

  /**
   * Decodes the settings.
   *
   * @param seed seed of this gateway's random choices
   * @param settings the platform's settings
   * @throws InvalidDocumentException if a field is missing or invalid
   */
  public JsonRoutingConfig(long seed, JsonReader settings) {
    JsonReader site = settings.objectOrEmpty("family-info");
    JsonReader bounds = settings.objectOrEmpty("bounds");
    JsonReader guarantees = settings.objectOrEmpty("guarantees");
    this.seed = seed;
    zone = settings.string("my-zone");
    gateways = settings.intOr("replicas-of-me", 1);
    gatewaysInZone = gatewaysInZone(settings, site);
    parentKind = settings.elementOr("kinds", site.intOr("mid-kind", -1), String.class, null);
    originKind = settings.elementOr("kinds", site.intOr("store-kind", -1), String.class, null);
    weightIsSize = is(settings, "weights", "nominal");
    listOnRequest = is(settings, "registry-mode", "on_request");
    maxAttempts = bounds.intOr("max-attempts", 1);
    hedging = bounds.booleanOrFalse("second-copies");
    cancellation = bounds.booleanOrFalse("cancel");
    retryAfter = bounds.booleanOrFalse("retry-after");
    maxRetryAfterNanos = bounds.durationNanosOr("max-retry-after-s", 0);
    bypass = site.booleanOrFalse("bypass-allowed");
    collapsing = site.booleanOrFalse("collapses");
    transferKbPerSecond = site.doubleOr("flow-kb-per-s", 0);
    purgeRetentionNanos = site.durationNanosOr("purge-takes-s", 0);
    slowStart =
        new SlowStart(
            guarantees.doubleOr("cold-share", 1),
            guarantees.durationNanosOr("cold-s", 0),
            guarantees.doubleOr("fall-multiple", 1));
    burstNanos = guarantees.durationNanosOr("fall-s", 0);
    parentSlowStart =
        new SlowStart(
            site.doubleOr("parent-cold-from", 1),
            site.durationNanosOr("parent-ramp-s", 0),
            site.doubleOr("parent-limit-factor", 1));
    trafficClasses = trafficClasses(settings.objects("classes"), site);
  }

  private int gatewaysInZone(JsonReader settings, JsonReader site) {
    int zoneIndex = settings.elements("zones").indexOf(zone);
    return site.elementOr("zone-balancers", zoneIndex, Long.class, (long) gateways).intValue();
  }

  private static boolean is(JsonReader settings, String key, String value) {
    return settings.has(key) && settings.string(key).equals(value);
  }

  private static List<TrafficClass> trafficClasses(List<JsonReader> classes, JsonReader site) {
    List<TrafficClass> decoded = new ArrayList<>();
    for (int index = 0; index < classes.size(); index++) {
      decoded.add(TrafficClass.decode(classes.get(index), site, index));
    }
    return List.copyOf(decoded);
  }

  /** The index of the traffic class of a name; -1 where there is none. */
  public int trafficClass(String name) {
    for (int index = 0; index < trafficClasses.size(); index++) {
      if (trafficClasses.get(index).name().equals(name)) {
        return index;
      }
    }
    return -1;
  }

  @Override
  public long seed() {
    return seed;
  }

  @Override
  public String zone() {
    return zone;
  }

  @Override
  public int gateways() {
    return gateways;
  }

  @Override
  public int gatewaysInZone() {
    return gatewaysInZone;
  }

  @Override
  public String parentKind() {
    return parentKind;
  }

  @Override
  public String originKind() {
    return originKind;
  }

  @Override
  public boolean weightIsSize() {
    return weightIsSize;
  }

  @Override
  public boolean endpointListOnRequest() {
    return listOnRequest;
  }

  @Override
  public int maxAttempts() {
    return maxAttempts;
  }

  @Override
  public boolean hedgingAllowed() {
    return hedging;
  }

  @Override
  public boolean cancellationAllowed() {
    return cancellation;
  }

  @Override
  public boolean sendsRetryAfter() {
    return retryAfter;
  }

  @Override
  public long maxRetryAfterNanos() {
    return maxRetryAfterNanos;
  }

  @Override
  public boolean bypassAllowed() {
    return bypass;
  }

  @Override
  public boolean coalescing() {
    return collapsing;
  }

  @Override
  public double transferKilobytesPerSecond() {
    return transferKbPerSecond;
  }

  @Override
  public long purgeRetentionNanos() {
    return purgeRetentionNanos;
  }

  @Override
  public double coldShare() {
    return slowStart.initialShare();
  }

  @Override
  public long coldTime() {
    return slowStart.durationNanos();
  }

  @Override
  public double fallMultiple() {
    return slowStart.overloadFactor();
  }

  @Override
  public long overloadWindowNanos() {
    return burstNanos;
  }

  @Override
  public double parentColdShare() {
    return parentSlowStart.initialShare();
  }

  @Override
  public long parentColdTime() {
    return parentSlowStart.durationNanos();
  }

  @Override
  public double parentFallMultiple() {
    return parentSlowStart.overloadFactor();
  }

  @Override
  public int trafficClassCount() {
    return trafficClasses.size();
  }

  @Override
  public Idempotency idempotency(int trafficClass) {
    return trafficClasses.get(trafficClass).effect();
  }

  @Override
  public IdempotencyScope idempotencyScope(int trafficClass) {
    return trafficClasses.get(trafficClass).group();
  }

  @Override
  public long idempotencyWindowNanos(int trafficClass) {
    return trafficClasses.get(trafficClass).windowNanos();
  }

  @Override
  public long latencyObjectiveNanos(int trafficClass) {
    return trafficClasses.get(trafficClass).latencyObjectiveNanos();
  }

  @Override
  public double latencyStretch(int trafficClass) {
    return trafficClasses.get(trafficClass).latencyStretch();
  }

  @Override
  public double revenue(int trafficClass) {
    return trafficClasses.get(trafficClass).revenue();
  }

  @Override
  public boolean neverCached(int trafficClass) {
    return trafficClasses.get(trafficClass).uncacheable();
  }

  @Override
  public long freshNanos(int trafficClass) {
    return trafficClasses.get(trafficClass).freshNanos();
  }

  @Override
  public long staleGraceNanos(int trafficClass) {
    return trafficClasses.get(trafficClass).graceNanos();
  }
}
