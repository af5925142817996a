package org.amberpath.gateway.settings;

import java.util.List;
import org.amberpath.routing.RoutingConfig;

/** The settings that a gateway is started with, decoded once. */
public final class JsonRoutingConfig implements RoutingConfig {
  private final long seed;
  private final String zone;
  private final int gateways;
  private final int gatewaysHere;
  private final String midKind;
  private final String originKind;
  private final boolean weighsSizes;
  private final boolean listOnRequest;
  private final int maxForwards;
  private final boolean secondCopies;
  private final boolean callOff;
  private final boolean retryAfter;
  private final long maxRetryAfter;
  private final boolean bypass;
  private final boolean joins;
  private final double flowKbPerSecond;
  private final long purgeTakes;
  private final double coldShare;
  private final long coldTime;
  private final double fallMultiple;
  private final long fallTime;
  private final double parentColdShare;
  private final long parentColdTime;
  private final double parentFallMultiple;
  private final String[] names;
  private final Effect[] effects;
  private final Group[] groups;
  private final long[] windows, objectives, fresh, grace;
  private final double[] stretches, revenues;
  private final boolean[] neverKept;

  public JsonRoutingConfig(long seed, JsonReader all) {
    JsonReader family = all.fieldsOr("family-info");
    JsonReader bounds = all.fieldsOr("bounds");
    JsonReader rules = all.fieldsOr("guarantees");
    this.seed = seed;
    zone = all.text("my-zone");
    gateways = all.place("replicas-of-me", 1);
    gatewaysHere =
        family
            .at("zone-balancers", all.list("zones").indexOf(zone), Long.class, (long) gateways)
            .intValue();
    midKind = all.at("kinds", family.place("mid-kind", -1), String.class, null);
    originKind = all.at("kinds", family.place("store-kind", -1), String.class, null);
    weighsSizes = all.has("weights") && all.text("weights").equals("nominal");
    listOnRequest = all.has("registry-mode") && all.text("registry-mode").equals("on_request");
    maxForwards = bounds.place("max-attempts", 1);
    secondCopies = bounds.flag("second-copies");
    callOff = bounds.flag("cancel");
    retryAfter = bounds.flag("retry-after");
    maxRetryAfter = bounds.timeOr("max-retry-after-s", 0);
    bypass = family.flag("bypass-allowed");
    joins = family.flag("collapses");
    flowKbPerSecond = family.numberOr("flow-kb-per-s", 0);
    purgeTakes = family.timeOr("purge-takes-s", 0);
    coldShare = rules.numberOr("cold-share", 1);
    coldTime = rules.timeOr("cold-s", 0);
    fallMultiple = rules.numberOr("fall-multiple", 1);
    fallTime = rules.timeOr("fall-s", 0);
    parentColdShare = family.numberOr("parent-cold-from", 1);
    parentColdTime = family.timeOr("parent-ramp-s", 0);
    parentFallMultiple = family.numberOr("parent-limit-factor", 1);
    List<JsonReader> services = all.each("classes");
    int count = services.size();
    names = new String[count];
    effects = new Effect[count];
    groups = new Group[count];
    windows = new long[count];
    objectives = new long[count];
    fresh = new long[count];
    grace = new long[count];
    stretches = new double[count];
    revenues = new double[count];
    neverKept = new boolean[count];
    for (int ds = 0; ds < count; ds++) {
      JsonReader service = services.get(ds);
      names[ds] = service.text("name");
      effects[ds] = effect(service);
      groups[ds] = group(service);
      windows[ds] = service.timeOr("window-s", 0);
      objectives[ds] = service.time("target-s");
      fresh[ds] = JsonReader.nanos(family.at("class-fresh-s", ds, Number.class, 0).doubleValue());
      grace[ds] = JsonReader.nanos(family.at("class-grace-s", ds, Number.class, 0).doubleValue());
      stretches[ds] = service.numberOr("aim-stretch", 0);
      revenues[ds] = service.numberOr("points", 1);
      neverKept[ds] = family.at("never-kept", ds, Boolean.class, false);
    }
  }

  private static Effect effect(JsonReader service) {
    return switch (service.text("idempotency")) {
      case "repeatable" -> Effect.IDEMPOTENT;
      case "by_key" -> Effect.TOKENED;
      case "once" -> Effect.NON_IDEMPOTENT;
      default ->
          throw service.wrong("idempotency", "of no known kind: " + service.text("idempotency"));
    };
  }

  private static Group group(JsonReader service) {
    return switch (service.has("group") ? service.text("group") : "cell") {
      case "all" -> Group.ALL;
      case "zone" -> Group.ZONE;
      case "cell" -> Group.CELL;
      default -> throw service.wrong("group", "of no known kind: " + service.text("group"));
    };
  }

  /** The place of a delivery service in the settings, or -1. */
  public int service(String name) {
    return List.of(names).indexOf(name);
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
  public int gatewaysHere() {
    return gatewaysHere;
  }

  @Override
  public String midKind() {
    return midKind;
  }

  @Override
  public String originKind() {
    return originKind;
  }

  @Override
  public boolean weighsSizes() {
    return weighsSizes;
  }

  @Override
  public boolean listOnRequest() {
    return listOnRequest;
  }

  @Override
  public int maxForwards() {
    return maxForwards;
  }

  @Override
  public boolean secondCopies() {
    return secondCopies;
  }

  @Override
  public boolean callOff() {
    return callOff;
  }

  @Override
  public boolean retryAfter() {
    return retryAfter;
  }

  @Override
  public long maxRetryAfter() {
    return maxRetryAfter;
  }

  @Override
  public boolean bypass() {
    return bypass;
  }

  @Override
  public boolean joins() {
    return joins;
  }

  @Override
  public double flowKbPerSecond() {
    return flowKbPerSecond;
  }

  @Override
  public long purgeTakes() {
    return purgeTakes;
  }

  @Override
  public double coldShare() {
    return coldShare;
  }

  @Override
  public long coldTime() {
    return coldTime;
  }

  @Override
  public double fallMultiple() {
    return fallMultiple;
  }

  @Override
  public long fallTime() {
    return fallTime;
  }

  @Override
  public double parentColdShare() {
    return parentColdShare;
  }

  @Override
  public long parentColdTime() {
    return parentColdTime;
  }

  @Override
  public double parentFallMultiple() {
    return parentFallMultiple;
  }

  @Override
  public int deliveryServices() {
    return names.length;
  }

  @Override
  public Effect effect(int ds) {
    return effects[ds];
  }

  @Override
  public Group group(int ds) {
    return groups[ds];
  }

  @Override
  public long window(int ds) {
    return windows[ds];
  }

  @Override
  public long latencyObjective(int ds) {
    return objectives[ds];
  }

  @Override
  public double stretch(int ds) {
    return stretches[ds];
  }

  @Override
  public double revenue(int ds) {
    return revenues[ds];
  }

  @Override
  public boolean neverKept(int ds) {
    return neverKept[ds];
  }

  @Override
  public long fresh(int ds) {
    return fresh[ds];
  }

  @Override
  public long grace(int ds) {
    return grace[ds];
  }
}
