package org.amberpath.lab;

import java.io.PrintStream;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySource;

/**
 * More GETs than a gateway can bear: first the rate is doubled until its loop is late, then three
 * times what it bore. Clients send on a schedule whatever comes back. The gateway has a quarter of
 * a core, so that the clients have enough.
 */
@SuppressWarnings("try") // Closing waits; an interrupt ends the experiment.
public final class OverloadExperiment {
  private static final int FIRST = 500, MOST = 16_000, TILLS = 192, OVER = 3, PARTS = 4;
  private static final long TICK_MS = 10,
      HIGHEST_US = 10_000_000,
      LAG_US = 50_000,
      BORNE_US = 40_000;
  private static final double SERVED = 0.98, KEPT = 0.5;

  private OverloadExperiment() {}

  /** What came of one rate. */
  private record Stretch(
      int rate, double returned, double shed, long lost, long lagUs, long latencyUs) {}

  /** Plays each rate for so many seconds. */
  public static ExperimentReport run(long seed, int seconds, PrintStream out) throws Exception {
    ExperimentReport result = new ExperimentReport(seed);
    Stretch borne = null;
    out.println("first with cold code, which counts for nothing:");
    play(seed, FIRST, seconds, out);
    for (int rate = FIRST; rate <= MOST; rate *= 2) {
      Stretch one = play(seed, rate, seconds, out);
      if (one.returned < SERVED * rate || one.lagUs > BORNE_US) {
        break;
      }
      borne = one;
    }
    if (borne == null) {
      return result.bar("bears " + FIRST + " GETs a second", false);
    }
    Stretch over = play(seed, OVER * borne.rate, seconds, out);
    return result
        .figure("borne", borne.rate)
        .figure("offered", over.rate)
        .figure("returned", (long) over.returned)
        .figure("shed", (long) over.shed)
        .figure("lost", over.lost)
        .figure("lag_p99_ms", over.lagUs / 1000.0)
        .figure("latency_p99_ms", over.latencyUs / 1000.0)
        .bar("the loop's lag under 50 ms, 99 of 100 ticks", over.lagUs <= LAG_US)
        .bar("no GET lost", over.lost == 0)
        .bar("half of what it bore is still returned", over.returned >= KEPT * borne.rate);
  }

  private static Stretch play(long seed, int rate, int seconds, PrintStream out) throws Exception {
    try (LoopbackTestbed world = new LoopbackTestbed(seed)) {
      world.open(1, 4);
      world.serve(
          (vertx, to, chance) ->
              new RegistrySource(
                  vertx, world.access(RegistrySettings.ProtocolKind.ETCD), to, chance));
      world.slowGateway(PARTS);
      LoadGenerator tills =
          new LoadGenerator(world.vertx, LabSettings.CLIPS, 1500, seed, got -> {});
      LoopbackTestbed.await(world.on(() -> tills.start(world.gateway.port(), TILLS, rate)));
      Thread.sleep(seconds * 500L); // Its code is cold at first.
      long[] before = world.on(() -> ends(tills));
      Histogram lag = new Histogram(HIGHEST_US, 3);
      world.watchGateway(
          TICK_MS, late -> lag.recordValue(Math.max(0, Math.min(HIGHEST_US, late / 1000))));
      Thread.sleep(seconds * 1000L);
      long[] after = world.on(() -> ends(tills));
      world.on(
          () -> {
            tills.stop();
            return null;
          });
      Thread.sleep(1700);
      return world.on(
          () -> {
            Stretch one =
                new Stretch(
                    rate,
                    (after[0] - before[0]) / (double) seconds,
                    (after[1] - before[1]) / (double) seconds,
                    tills.ended(LoadGenerator.End.LOST),
                    lag.getValueAtPercentile(99),
                    tills.latency().getValueAtPercentile(99));
            out.printf(
                Locale.ROOT,
                "%6d GETs/s: returned %.0f, shed %.0f, lost %d; lag p99 %.1f ms, answers p99 %.1f ms%n",
                rate,
                one.returned,
                one.shed,
                one.lost,
                one.lagUs / 1e3,
                one.latencyUs / 1e3);
            return one;
          });
    }
  }

  private static long[] ends(LoadGenerator tills) {
    return new long[] {
      tills.ended(LoadGenerator.End.RETURNED), tills.ended(LoadGenerator.End.SHED)
    };
  }
}
