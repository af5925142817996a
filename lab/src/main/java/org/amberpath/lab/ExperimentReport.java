package org.amberpath.lab;

import io.vertx.core.json.JsonObject;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The result of an experiment: measured figures by name, and bars (pass criteria), each with
 * whether it is met.
 */
public final class ExperimentReport {
  private final Map<String, Object> figures = new LinkedHashMap<>();
  private final Map<String, Boolean> bars = new LinkedHashMap<>();

  /** Creates a report whose only figure is the seed of the experiment. */
  public ExperimentReport(long seed) {
    figures.put("seed", seed);
  }

  /** Adds a measured figure under the name of its JSON field. */
  public ExperimentReport figure(String name, Object value) {
    figures.put(name, value);
    return this;
  }

  /**
   * Adds a pass criterion.
   *
   * @param name the sentence that states the criterion
   * @param holds whether the experiment met it
   */
  public ExperimentReport bar(String name, boolean holds) {
    bars.put(name, holds);
    return this;
  }

  /** Returns whether all bars hold. */
  public boolean holds() {
    return !bars.containsValue(false);
  }

  /**
   * Returns the report as one JSON object: each figure under its name, the bars, and whether all of
   * them hold.
   */
  public String json() {
    return new JsonObject(new LinkedHashMap<>(figures))
        .put("bars", new JsonObject(new LinkedHashMap<>(bars)))
        .put("holds", holds())
        .encode();
  }
}
