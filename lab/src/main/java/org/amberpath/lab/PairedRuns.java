package org.amberpath.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.DoublePredicate;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Runs the same seeds in several variants of a model and holds the figures of each run, paired by
 * seed.
 *
 * @param <V> the enum of the variants
 */
public final class PairedRuns<V extends Enum<V>> {
  /**
   * A model that can be run in several variants.
   *
   * @param <V> the variants of the model
   */
  public interface Model<V> {
    /** Runs one seed in one variant and returns the figures of the run by name. */
    Map<String, Double> run(long seed, V variant) throws IOException;
  }

  private final Class<V> variants;
  private final List<Map<V, Map<String, Double>>> results;

  private PairedRuns(Class<V> variants, List<Map<V, Map<String, Double>>> results) {
    this.variants = variants;
    this.results = results;
  }

  /**
   * Runs consecutive seeds, each in all variants, in parallel on all processors.
   *
   * @param firstSeed the first seed
   * @param pairs how many seeds are run
   */
  public static <V extends Enum<V>> PairedRuns<V> run(
      long firstSeed, int pairs, Class<V> variants, Model<V> model) {
    return new PairedRuns<>(
        variants,
        LongStream.range(firstSeed, firstSeed + pairs)
            .parallel()
            .mapToObj(seed -> runSeed(seed, variants, model))
            .toList());
  }

  private static <V extends Enum<V>> Map<V, Map<String, Double>> runSeed(
      long seed, Class<V> variants, Model<V> model) {
    Map<V, Map<String, Double>> figures = new EnumMap<>(variants);
    for (V variant : variants.getEnumConstants()) {
      try {
        figures.put(variant, model.run(seed, variant));
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
    return figures;
  }

  /** Returns the names of all figures, in the order in which the model reports them. */
  public List<String> figureNames() {
    return List.copyOf(results.get(0).values().iterator().next().keySet());
  }

  /** Returns the mean of a figure over all seeds, in one variant. */
  public double mean(V variant, String name) {
    return results.stream()
        .mapToDouble(figures -> figures.get(variant).get(name))
        .average()
        .orElse(0);
  }

  /** Returns whether a figure meets a condition in every run of every variant. */
  public boolean allMatch(String name, DoublePredicate condition) {
    return results.stream()
        .flatMap(figures -> figures.values().stream())
        .allMatch(figures -> condition.test(figures.get(name)));
  }

  /**
   * Returns, for each seed, by how much a figure is higher in each of the compared variants than in
   * the baseline: the differences of one seed are separated by slashes, seeds by spaces.
   */
  public String differences(String name, V baseline, List<V> compared) {
    return results.stream()
        .map(
            figures ->
                compared.stream()
                    .map(
                        variant ->
                            String.format(
                                Locale.ROOT,
                                "%+.3g",
                                figures.get(variant).get(name) - figures.get(baseline).get(name)))
                    .collect(Collectors.joining("/", " ", "")))
        .collect(Collectors.joining());
  }

  /**
   * Adds the mean of a figure in each variant to a report, under the name {@code FIGURE_variant}.
   */
  public void reportMeans(String name, ExperimentReport report) {
    for (V variant : variants.getEnumConstants()) {
      report.figure(name + "_" + variant.name().toLowerCase(Locale.ROOT), mean(variant, name));
    }
  }
}
