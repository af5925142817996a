package amberpath.lab.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.LongStream;

/** Many runs of the pure half, each from a seed of its own. */
public final class RegistryModel {
  /** What a run came to: its figures, or the bar that it missed. */
  public record Result(long seed, Map<String, Long> figures, String missed) {
  }

  private RegistryModel() {
  }

  /** One run; the same seed tells the same story, line by line. */
  public static Result one(long seed, Consumer<String> story) {
    try {
      return new Result(seed, new ModelRun(seed, story).run(), null);
    } catch (RuntimeException e) {
      return new Result(seed, Map.of(), e instanceof ModelRun.Missed ? e.getMessage() : e.toString());
    }
  }

  /** Sums over the runs from one seed on, and the first seeds that missed a bar, by at most ten lines. */
  public static Map<String, Object> runs(long seed, int runs) {
    List<Result> results = LongStream.range(seed, seed + runs).parallel()
        .mapToObj(each -> one(each, line -> { })).toList();
    Map<String, Object> sums = new TreeMap<>();
    List<String> missed = new ArrayList<>();
    int failed = 0;
    for (Result result : results) {
      result.figures().forEach((name, value) -> sums.merge(name, value, (a, b) -> (long) a + (long) b));
      if (result.missed() != null && failed++ < 10) {
        missed.add(result.seed() + ": " + result.missed());
      }
    }
    sums.put("runs", (long) runs);
    sums.put("failed", (long) failed);
    sums.put("missed", missed);
    return sums;
  }
}
