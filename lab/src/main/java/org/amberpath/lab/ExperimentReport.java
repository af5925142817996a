package org.amberpath.lab;

import io.vertx.core.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;

/** What an experiment came to: its figures, and its bars with whether each holds. */
public final class ExperimentReport {
  private final Map<String, Object> figures = new LinkedHashMap<>();
  private final Map<String, Boolean> bars = new LinkedHashMap<>();

  public ExperimentReport(long seed) {
    figures.put("seed", seed);
  }

  public ExperimentReport figure(String name, Object value) {
    figures.put(name, value);
    return this;
  }

  public ExperimentReport bar(String name, boolean holds) {
    bars.put(name, holds);
    return this;
  }

  public boolean holds() {
    return !bars.containsValue(false);
  }

  /** One JSON object: figures, bars, and whether all hold. */
  public String json() {
    return new JsonObject(new LinkedHashMap<>(figures))
        .put("bars", new JsonObject(new LinkedHashMap<>(bars)))
        .put("holds", holds())
        .encode();
  }
}
