package org.amberpath.lab;

import io.vertx.core.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;

/** The result of an experiment: its figures, and its bars with whether each holds. */
public final class ExperimentReport {
  private final Map<String, Object> figures = new LinkedHashMap<>();
  private final Map<String, Boolean> bars = new LinkedHashMap<>();

  /** An empty report of an experiment from a seed. */
  public ExperimentReport(long seed) {
    figures.put("seed", seed);
  }

  /** Adds a figure. */
  public ExperimentReport figure(String name, Object value) {
    figures.put(name, value);
    return this;
  }

  /** Adds a bar, and whether it holds. */
  public ExperimentReport bar(String name, boolean holds) {
    bars.put(name, holds);
    return this;
  }

  /** Whether all bars hold. */
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
