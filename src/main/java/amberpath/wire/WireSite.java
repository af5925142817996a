package amberpath.wire;

import amberpath.Site;
import java.util.List;

/** Reads the settings that a gateway is started with. */
final class WireSite implements Site {
  private final long seed;
  private final Fields all;
  private final Fields family;
  private final Fields bounds;
  private final Fields rules;
  private final List<Fields> services;

  WireSite(long seed, Fields all) {
    this.seed = seed;
    this.all = all;
    family = all.fieldsOr("family-info");
    bounds = all.fieldsOr("bounds");
    rules = all.fieldsOr("guarantees");
    services = all.each("classes");
  }

  /** The place of a delivery service in the settings, or -1. */
  int service(String name) {
    for (int ds = 0; ds < services.size(); ds++) {
      if (services.get(ds).text("name").equals(name)) {
        return ds;
      }
    }
    return -1;
  }

  @Override public long seed() {
    return seed;
  }

  @Override public int gateways() {
    return all.place("replicas-of-me", 1);
  }

  @Override public int gatewaysHere() {
    int place = all.list("zones").indexOf(zone());
    return family.at("zone-balancers", place, Long.class, (long) gateways()).intValue();
  }

  @Override public String zone() {
    return all.text("my-zone");
  }

  @Override public String midKind() {
    return all.at("kinds", family.place("mid-kind", -1), String.class, null);
  }

  @Override public String originKind() {
    return all.at("kinds", family.place("store-kind", -1), String.class, null);
  }

  @Override public boolean weighsSizes() {
    return all.has("weights") && all.text("weights").equals("nominal");
  }

  @Override public boolean listOnRequest() {
    return all.has("registry-mode") && all.text("registry-mode").equals("on_request");
  }

  @Override public int deliveryServices() {
    return services.size();
  }

  @Override public Effect effect(int ds) {
    String value = services.get(ds).text("idempotency");
    switch (value) {
      case "repeatable":
        return Effect.IDEMPOTENT;
      case "by_key":
        return Effect.TOKENED;
      case "once":
        return Effect.NON_IDEMPOTENT;
      default:
        throw services.get(ds).wrong("idempotency", "of no known kind: " + value);
    }
  }

  @Override public Group group(int ds) {
    String value = services.get(ds).has("group") ? services.get(ds).text("group") : "cell";
    switch (value) {
      case "all":
        return Group.ALL;
      case "zone":
        return Group.ZONE;
      case "cell":
        return Group.CELL;
      default:
        throw services.get(ds).wrong("group", "of no known kind: " + value);
    }
  }

  @Override public long window(int ds) {
    return services.get(ds).timeOr("window-s", 0);
  }

  @Override public long latencyObjective(int ds) {
    return services.get(ds).time("target-s");
  }

  @Override public double stretch(int ds) {
    return services.get(ds).numberOr("aim-stretch", 0);
  }

  @Override public double revenue(int ds) {
    return services.get(ds).numberOr("points", 1);
  }

  @Override public boolean inParts(int ds) {
    return family.at("in-parts", ds, Boolean.class, false);
  }

  @Override public boolean neverKept(int ds) {
    return family.at("never-kept", ds, Boolean.class, false);
  }

  @Override public long fresh(int ds) {
    return Fields.nanos(family.at("class-fresh-s", ds, Number.class, 0).doubleValue());
  }

  @Override public long grace(int ds) {
    return Fields.nanos(family.at("class-grace-s", ds, Number.class, 0).doubleValue());
  }

  @Override public int maxForwards() {
    return bounds.place("max-attempts", 1);
  }

  @Override public boolean secondCopies() {
    return bounds.flag("second-copies");
  }

  @Override public boolean callOff() {
    return bounds.flag("cancel");
  }

  @Override public boolean retryAfter() {
    return bounds.flag("retry-after");
  }

  @Override public long maxRetryAfter() {
    return bounds.timeOr("max-retry-after-s", 0);
  }

  @Override public boolean bypass() {
    return family.flag("bypass-allowed");
  }

  @Override public boolean joins() {
    return family.flag("collapses");
  }

  @Override public Neighbours neighbours() {
    String value = family.has("neighbours") ? family.text("neighbours") : "none";
    switch (value) {
      case "none":
        return Neighbours.NONE;
      case "location":
        return Neighbours.ZONE;
      case "any":
        return Neighbours.ANY;
      default:
        throw family.wrong("neighbours", "of no known kind: " + value);
    }
  }

  @Override public double flowKbPerSecond() {
    return family.numberOr("flow-kb-per-s", 0);
  }

  @Override public long purgeTakes() {
    return family.timeOr("purge-takes-s", 0);
  }

  @Override public double coldShare() {
    return rules.numberOr("cold-share", 1);
  }

  @Override public long coldTime() {
    return rules.timeOr("cold-s", 0);
  }

  @Override public double fallMultiple() {
    return rules.numberOr("fall-multiple", 1);
  }

  @Override public long fallTime() {
    return rules.timeOr("fall-s", 0);
  }

  @Override public double parentColdShare() {
    return family.numberOr("parent-cold-from", 1);
  }

  @Override public long parentColdTime() {
    return family.timeOr("parent-ramp-s", 0);
  }

  @Override public double parentFallMultiple() {
    return family.numberOr("parent-limit-factor", 1);
  }
}
