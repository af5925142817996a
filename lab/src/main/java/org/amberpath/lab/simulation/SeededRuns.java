package org.amberpath.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.LongStream;

/** Runs a model with one or many seeds. */
public final class SeededRuns {
  private static final int MAX_LISTED_VIOLATIONS = 10;

  /** A model whose run is determined by its seed. */
  public interface Model {
    /**
     * Runs one seed and returns the figures of the run by name.
     *
     * @param trace receives each line of the trace
     * @throws RuntimeException if an invariant does not hold
     */
    Map<String, Long> run(long seed, Consumer<String> trace);
  }

  /**
   * The result of a run.
   *
   * @param figures the figures by name; empty if an invariant was violated
   * @param violation the message of the violated invariant; null if all invariants held
   */
  public record Result(long seed, Map<String, Long> figures, String violation) {}

  private SeededRuns() {}

  /** Runs one seed. The same seed writes the same trace, line by line. */
  public static Result runOne(Model model, long seed, Consumer<String> trace) {
    try {
      return new Result(seed, model.run(seed, trace), null);
    } catch (RuntimeException e) {
      return new Result(seed, Map.of(), e.getMessage() == null ? e.toString() : e.getMessage());
    }
  }

  /**
   * Runs consecutive seeds in parallel and sums their figures.
   *
   * @param seed the first seed
   * @param runs how many seeds are run
   * @return the sums, the number of runs, the number of those that failed, and the first {@value
   *     #MAX_LISTED_VIOLATIONS} violations, each with its seed
   */
  public static Map<String, Object> runMany(Model model, long seed, int runs) {
    List<Result> results =
        LongStream.range(seed, seed + runs)
            .parallel()
            .mapToObj(runSeed -> runOne(model, runSeed, line -> {}))
            .toList();
    Map<String, Object> totals = new TreeMap<>();
    List<String> violations = new ArrayList<>();
    long failed = 0;
    for (Result result : results) {
      result
          .figures()
          .forEach((name, value) -> totals.merge(name, value, (a, b) -> (long) a + (long) b));
      if (result.violation() != null && failed++ < MAX_LISTED_VIOLATIONS) {
        violations.add(result.seed() + ": " + result.violation());
      }
    }
    totals.put("runs", (long) runs);
    totals.put("failed", failed);
    totals.put("missed", violations);
    return totals;
  }
}
