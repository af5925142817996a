package org.amberpath.gateway.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amberpath.routing.Idempotency;
import org.amberpath.routing.IdempotencyScope;
import org.amberpath.routing.RetryConfig;
import org.amberpath.routing.RoutingConfig;
import org.amberpath.routing.SlowStartConfig;
import org.amberpath.routing.TrafficClassConfig;

/**
 * {@link RoutingConfig} decoded from the {@code settings} object of the platform's JSON
 * configuration, once at startup. Immutable. Durations are in nanoseconds.
 */
public final class JsonRoutingConfig implements RoutingConfig {
  private final long seed;
  private final String zone;
  private final int gateways;
  private final int gatewaysInZone;
  private final Optional<String> parentKind;
  private final Optional<String> originKind;
  private final boolean weightIsSize;
  private final boolean endpointListOnRequest;
  private final RetryConfig retries;
  private final boolean bypassAllowed;
  private final boolean coalescing;
  private final double transferKbPerSecond;
  private final long purgeRetentionNanos;
  private final SlowStartConfig edgeSlowStart;
  private final SlowStartConfig parentSlowStart;
  private final long overloadWindowNanos;
  private final List<NamedTrafficClass> trafficClasses;

  private record NamedTrafficClass(String name, TrafficClassConfig config) {}

  /**
   * Decodes the settings.
   *
   * @param seed seed of this gateway's random number generator
   * @param settings the {@code settings} object of the configuration
   * @throws InvalidDocumentException if a field is missing or invalid
   */
  public JsonRoutingConfig(long seed, JsonReader settings) {
    JsonReader familyInfo = settings.objectOrEmpty("family-info");
    JsonReader bounds = settings.objectOrEmpty("bounds");
    JsonReader guarantees = settings.objectOrEmpty("guarantees");
    this.seed = seed;
    zone = settings.string("my-zone");
    gateways = settings.intOr("replicas-of-me", 1);
    gatewaysInZone = gatewaysInZone(settings, familyInfo);
    parentKind = kindAt(settings, familyInfo.intOr("mid-kind", -1));
    originKind = kindAt(settings, familyInfo.intOr("store-kind", -1));
    weightIsSize = hasValue(settings, "weights", "nominal");
    endpointListOnRequest = hasValue(settings, "registry-mode", "on_request");
    retries =
        new RetryConfig(
            bounds.intOr("max-attempts", 1),
            bounds.booleanOrFalse("second-copies"),
            bounds.booleanOrFalse("cancel"),
            bounds.booleanOrFalse("retry-after"),
            bounds.durationNanosOr("max-retry-after-s", 0));
    bypassAllowed = familyInfo.booleanOrFalse("bypass-allowed");
    coalescing = familyInfo.booleanOrFalse("collapses");
    transferKbPerSecond = familyInfo.doubleOr("flow-kb-per-s", 0);
    purgeRetentionNanos = familyInfo.durationNanosOr("purge-takes-s", 0);
    edgeSlowStart =
        new SlowStartConfig(
            guarantees.doubleOr("cold-share", 1),
            guarantees.durationNanosOr("cold-s", 0),
            guarantees.doubleOr("fall-multiple", 1));
    overloadWindowNanos = guarantees.durationNanosOr("fall-s", 0);
    parentSlowStart =
        new SlowStartConfig(
            familyInfo.doubleOr("parent-cold-from", 1),
            familyInfo.durationNanosOr("parent-ramp-s", 0),
            familyInfo.doubleOr("parent-limit-factor", 1));
    trafficClasses = trafficClasses(settings.objects("classes"), familyInfo);
  }

  private int gatewaysInZone(JsonReader settings, JsonReader familyInfo) {
    int zoneIndex = settings.elements("zones").indexOf(zone);
    return familyInfo
        .elementOr("zone-balancers", zoneIndex, Long.class, (long) gateways)
        .intValue();
  }

  private static boolean hasValue(JsonReader settings, String key, String value) {
    return settings.has(key) && settings.string(key).equals(value);
  }

  private static Optional<String> kindAt(JsonReader settings, int index) {
    return Optional.ofNullable(settings.elementOr("kinds", index, String.class, null));
  }

  private static List<NamedTrafficClass> trafficClasses(
      List<JsonReader> classes, JsonReader familyInfo) {
    List<NamedTrafficClass> decoded = new ArrayList<>();
    for (int index = 0; index < classes.size(); index++) {
      decoded.add(
          new NamedTrafficClass(
              classes.get(index).string("name"),
              trafficClass(classes.get(index), familyInfo, index)));
    }
    return List.copyOf(decoded);
  }

  /**
   * Decodes one traffic class.
   *
   * @param settings the class's own object
   * @param familyInfo the {@code family-info} object, whose arrays hold one value per class
   * @param index the class's index in those arrays
   */
  private static TrafficClassConfig trafficClass(
      JsonReader settings, JsonReader familyInfo, int index) {
    return new TrafficClassConfig(
        idempotency(settings),
        idempotencyScope(settings),
        settings.durationNanosOr("window-s", 0),
        settings.durationNanos("target-s"),
        settings.doubleOr("aim-stretch", 0),
        settings.doubleOr("points", 1),
        familyInfo.elementOr("never-kept", index, Boolean.class, false),
        durationNanosAt(familyInfo, "class-fresh-s", index),
        durationNanosAt(familyInfo, "class-grace-s", index));
  }

  private static long durationNanosAt(JsonReader familyInfo, String key, int index) {
    return JsonReader.secondsToNanos(
        familyInfo.elementOr(key, index, Number.class, 0).doubleValue());
  }

  private static Idempotency idempotency(JsonReader settings) {
    String idempotency = settings.string("idempotency");
    return switch (idempotency) {
      case "repeatable" -> Idempotency.IDEMPOTENT;
      case "by_key" -> Idempotency.IDEMPOTENCY_KEY;
      case "once" -> Idempotency.NON_IDEMPOTENT;
      default ->
          throw settings.invalid(
              "idempotency", "not one of repeatable, by_key, once: " + idempotency);
    };
  }

  private static IdempotencyScope idempotencyScope(JsonReader settings) {
    String group = settings.has("group") ? settings.string("group") : "cell";
    return switch (group) {
      case "all" -> IdempotencyScope.ALL;
      case "zone" -> IdempotencyScope.ZONE;
      case "cell" -> IdempotencyScope.CELL;
      default -> throw settings.invalid("group", "not one of all, zone, cell: " + group);
    };
  }

  /** Returns the index of the traffic class with the given name; -1 if there is none. */
  public int trafficClassIndex(String name) {
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
  public Optional<String> parentKind() {
    return parentKind;
  }

  @Override
  public Optional<String> originKind() {
    return originKind;
  }

  @Override
  public boolean weightIsSize() {
    return weightIsSize;
  }

  @Override
  public boolean requiresEndpointSubscription() {
    return endpointListOnRequest;
  }

  @Override
  public boolean bypassAllowed() {
    return bypassAllowed;
  }

  @Override
  public boolean coalescing() {
    return coalescing;
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
  public int trafficClassCount() {
    return trafficClasses.size();
  }

  @Override
  public TrafficClassConfig trafficClass(int index) {
    return trafficClasses.get(index).config();
  }

  @Override
  public RetryConfig retries() {
    return retries;
  }

  @Override
  public SlowStartConfig edgeSlowStart() {
    return edgeSlowStart;
  }

  @Override
  public SlowStartConfig parentSlowStart() {
    return parentSlowStart;
  }

  @Override
  public long overloadWindowNanos() {
    return overloadWindowNanos;
  }
}
