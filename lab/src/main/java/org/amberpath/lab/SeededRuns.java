package org.amberpath.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.LongStream;

/** Many runs of a model, each from a seed of its own. */
public final class SeededRuns {
  private static final int MAX_LISTED_FAILURES = 10;

  /** A model: plays one seed, tells its story line by line, and throws where a bar is missed. */
  public interface Model {
    Map<String, Long> run(long seed, Consumer<String> story);
  }

  /** What a run came to: its figures, or the bar that it missed. */
  public record Result(long seed, Map<String, Long> figures, String violation) {}

  private SeededRuns() {}

  /** One run; the same seed tells the same story, line by line. */
  public static Result runOne(Model model, long seed, Consumer<String> story) {
    try {
      return new Result(seed, model.run(seed, story), null);
    } catch (RuntimeException e) {
      return new Result(seed, Map.of(), e.getMessage() == null ? e.toString() : e.getMessage());
    }
  }

  /** Sums over the runs from one seed on, and what the first few that missed a bar have to say. */
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
