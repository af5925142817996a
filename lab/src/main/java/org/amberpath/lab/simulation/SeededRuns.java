package org.amberpath.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.LongStream;

/** Many runs of a model, each from a seed of its own. */
public final class SeededRuns {
  private static final int MAX_LISTED_FAILURES = 10;

  /** A model of which each run follows from a seed. */
  public interface Model {
    /**
     * Runs one seed, and gives its figures.
     *
     * @param trace takes each line of the trace
     * @throws RuntimeException where an invariant does not hold
     */
    Map<String, Long> run(long seed, Consumer<String> trace);
  }

  /** The result of a run: its figures, or the invariant that did not hold; null where all did. */
  public record Result(long seed, Map<String, Long> figures, String violation) {}

  private SeededRuns() {}

  /** Runs one seed; the same seed writes the same trace, line by line. */
  public static Result runOne(Model model, long seed, Consumer<String> trace) {
    try {
      return new Result(seed, model.run(seed, trace), null);
    } catch (RuntimeException e) {
      return new Result(seed, Map.of(), e.getMessage() == null ? e.toString() : e.getMessage());
    }
  }

  /** Runs many seeds, and sums their figures; the first few violations are listed. */
  public static Map<String, Object> runMany(Model model, long seed, int runs) {
    List<Result> results =
        LongStream.range(seed, seed + runs)
            .parallel()
            .mapToObj(each -> runOne(model, each, line -> {}))
            .toList();
    Map<String, Object> totals = new TreeMap<>();
    List<String> violations = new ArrayList<>();
    long failed = 0;
    for (Result result : results) {
      result
          .figures()
          .forEach((name, value) -> totals.merge(name, value, (a, b) -> (long) a + (long) b));
      if (result.violation() != null && failed++ < MAX_LISTED_FAILURES) {
        violations.add(result.seed() + ": " + result.violation());
      }
    }
    totals.put("runs", (long) runs);
    totals.put("failed", failed);
    totals.put("missed", violations);
    return totals;
  }
}
