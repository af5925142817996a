package org.amberpath.lab;

import java.io.PrintStream;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySource;

/**
 * Offers a gateway more requests than it can serve. The rate is doubled until the gateway no longer
 * sustains it (too few requests returned, or its event loop too late); then three times the highest
 * sustained rate is offered. Clients send on a schedule whether or not earlier requests have been
 * answered. The gateway is limited to a quarter of a core, which leaves enough processor time for
 * the clients.
 */
@SuppressWarnings("try") // close() blocks; an InterruptedException ends the experiment.
public final class OverloadExperiment {
  private static final int FIRST_RATE = 500;
  private static final int MAX_RATE = 16_000;
  private static final int CONNECTIONS = 192;
  private static final int EDGE_CACHES = 4;
  private static final int OVERLOAD_MULTIPLE = 3;
  private static final int GATEWAY_CORE_DIVISOR = 4;
  private static final long REQUEST_TIMEOUT_MILLIS = 1500;
  private static final long FINAL_RESPONSE_WAIT_MILLIS = 1700;
  private static final long TICK_MILLIS = 10;
  private static final long MAX_LAG_MICROS = 10_000_000;
  private static final long MAX_OVERLOADED_LAG_MICROS = 50_000;
  private static final long MAX_SUSTAINED_LAG_MICROS = 40_000;
  private static final double MIN_SUSTAINED_SHARE = 0.98;
  private static final double MIN_OVERLOADED_SHARE = 0.5;

  private OverloadExperiment() {}

  /**
   * The measurements at one request rate.
   *
   * @param requestRate requests per second that were offered
   * @param lostCount requests without a response, over the complete measurement
   * @param loopLagP99Micros 99th percentile of the delay of the gateway's event loop
   * @param latencyP99Micros 99th percentile of the latency of returned requests
   */
  private record RateResult(
      int requestRate,
      double returnedPerSecond,
      double rejectedPerSecond,
      long lostCount,
      long loopLagP99Micros,
      long latencyP99Micros) {
    private boolean isSustained() {
      return returnedPerSecond >= MIN_SUSTAINED_SHARE * requestRate
          && loopLagP99Micros <= MAX_SUSTAINED_LAG_MICROS;
    }
  }

  /**
   * Runs the experiment.
   *
   * @param seconds the duration of the measurement at each rate, in seconds
   */
  public static ExperimentReport run(long seed, int seconds, PrintStream out) throws Exception {
    ExperimentReport report = new ExperimentReport(seed);
    RateResult sustained = null;
    out.println("warm-up run for the JIT compiler, not part of the results:");
    measure(seed, FIRST_RATE, seconds, out);
    for (int rate = FIRST_RATE; rate <= MAX_RATE; rate *= 2) {
      RateResult measured = measure(seed, rate, seconds, out);
      if (!measured.isSustained()) {
        break;
      }
      sustained = measured;
    }
    if (sustained == null) {
      return report.bar("sustains " + FIRST_RATE + " requests/s", false);
    }
    RateResult overloaded = measure(seed, OVERLOAD_MULTIPLE * sustained.requestRate, seconds, out);
    return report
        .figure("borne", sustained.requestRate)
        .figure("offered", overloaded.requestRate)
        .figure("returned", (long) overloaded.returnedPerSecond)
        .figure("shed", (long) overloaded.rejectedPerSecond)
        .figure("lost", overloaded.lostCount)
        .figure("lag_p99_ms", overloaded.loopLagP99Micros / 1000.0)
        .figure("latency_p99_ms", overloaded.latencyP99Micros / 1000.0)
        .bar(
            "99th percentile of the event loop's lag at most 50 ms",
            overloaded.loopLagP99Micros <= MAX_OVERLOADED_LAG_MICROS)
        .bar("no request lost", overloaded.lostCount == 0)
        .bar(
            "returns at least half of the sustained rate",
            overloaded.returnedPerSecond >= MIN_OVERLOADED_SHARE * sustained.requestRate);
  }

  private static RateResult measure(long seed, int rate, int seconds, PrintStream out)
      throws Exception {
    try (LoopbackTestbed testbed = new LoopbackTestbed(seed)) {
      testbed.startStandIns(1, EDGE_CACHES);
      testbed.startGateway(
          (vertx, listener, random) ->
              new RegistrySource(
                  vertx,
                  testbed.registrySettings(RegistrySettings.ProtocolKind.ETCD),
                  listener,
                  random));
      testbed.slowGatewayLoop(GATEWAY_CORE_DIVISOR);
      LoadGenerator loadGenerator =
          testbed.startClients(
              new LoadGenerator(
                  testbed.vertx(), LabSettings.CLIPS, REQUEST_TIMEOUT_MILLIS, seed, ignored -> {}),
              CONNECTIONS,
              rate);
      Thread.sleep(seconds * 500L); // Lets the JIT compile the hot paths first.
      RateResult measured = measure(testbed, loadGenerator, rate, seconds);
      out.printf(
          Locale.ROOT,
          "%6d requests/s: returned %.0f/s, rejected %.0f/s, lost %d;"
              + " loop lag p99 %.1f ms, latency p99 %.1f ms%n",
          rate,
          measured.returnedPerSecond,
          measured.rejectedPerSecond,
          measured.lostCount,
          measured.loopLagP99Micros / 1e3,
          measured.latencyP99Micros / 1e3);
      return measured;
    }
  }

  private static RateResult measure(
      LoopbackTestbed testbed, LoadGenerator loadGenerator, int rate, int seconds)
      throws Exception {
    long[] before = testbed.callOnLoop(() -> outcomeCounts(loadGenerator));
    Histogram lagMicros = new Histogram(MAX_LAG_MICROS, 3);
    testbed.watchGatewayLoop(
        TICK_MILLIS,
        lateNanos ->
            lagMicros.recordValue(Math.max(0, Math.min(MAX_LAG_MICROS, lateNanos / 1000))));
    Thread.sleep(seconds * 1000L);
    long[] after = testbed.callOnLoop(() -> outcomeCounts(loadGenerator));
    testbed.runOnLoop(loadGenerator::stop);
    Thread.sleep(FINAL_RESPONSE_WAIT_MILLIS);
    return testbed.callOnLoop(
        () ->
            new RateResult(
                rate,
                (after[0] - before[0]) / (double) seconds,
                (after[1] - before[1]) / (double) seconds,
                loadGenerator.countOf(LoadGenerator.Outcome.LOST),
                lagMicros.getValueAtPercentile(99),
                loadGenerator.latency().getValueAtPercentile(99)));
  }

  private static long[] outcomeCounts(LoadGenerator loadGenerator) {
    return new long[] {
      loadGenerator.countOf(LoadGenerator.Outcome.RETURNED),
      loadGenerator.countOf(LoadGenerator.Outcome.SHED)
    };
  }
}
