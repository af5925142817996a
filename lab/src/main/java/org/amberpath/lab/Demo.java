package org.amberpath.lab;

import java.io.PrintStream;
import java.util.Locale;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySource;
import org.amberpath.routing.EndpointState;

/**
 * Demonstration of one gateway among stand-in endpoints: one cache crashes, another is drained, and
 * the report counts how the clients' requests ended.
 */
@SuppressWarnings("try") // close() blocks; an InterruptedException ends the experiment.
public final class Demo {
  private static final int REQUESTS_PER_SECOND = 200;
  private static final int CONNECTIONS = 8;
  private static final int EDGE_CACHES = 4;
  private static final long REQUEST_TIMEOUT_MILLIS = 1500;
  private static final long FINAL_RESPONSE_WAIT_MILLIS = 1700;
  private static final long MAX_DRAIN_NANOS = 300_000_000;
  private static final String CRASHED_CACHE = "e1";
  private static final String DRAINED_CACHE = "e2";

  private Demo() {}

  /**
   * Runs the demonstration and prints its progress.
   *
   * @param seconds the duration in seconds: one third before the crash, one third between the crash
   *     and the drain, one third after the drain
   */
  public static ExperimentReport run(long seed, int seconds, PrintStream out) throws Exception {
    ExperimentReport report = new ExperimentReport(seed);
    long phaseMillis = seconds * 1000L / 3;
    try (LoopbackTestbed testbed = new LoopbackTestbed(seed)) {
      testbed.startStandIns(1, EDGE_CACHES);
      testbed.startGateway(
          (vertx, listener, random) ->
              new RegistrySource(
                  vertx,
                  testbed.registrySettings(RegistrySettings.ProtocolKind.ETCD),
                  listener,
                  random));
      out.println(
          "gateway at 127.0.0.1:"
              + testbed.gatewayPort()
              + " with 4 edge caches, a hub and an origin; "
              + REQUESTS_PER_SECOND
              + " requests/s for "
              + seconds
              + " s");
      LoadGenerator loadGenerator = startClients(testbed, seed);
      Thread.sleep(phaseMillis);
      out.println("cache e1 crashes");
      testbed.runOnLoop(() -> testbed.cache(CRASHED_CACHE).close());
      Thread.sleep(phaseMillis);
      out.println("cache e2 is drained");
      long drainedAtNanos = drain(testbed);
      Thread.sleep(phaseMillis);
      testbed.runOnLoop(loadGenerator::stop);
      Thread.sleep(FINAL_RESPONSE_WAIT_MILLIS);
      testbed.runOnLoop(
          () -> {
            long lastRequestNanos = testbed.cache(DRAINED_CACHE).lastRequestNanos();
            printOutcomes(loadGenerator, testbed, out);
            fillReport(loadGenerator, lastRequestNanos - drainedAtNanos, out, report);
          });
    }
    return report;
  }

  private static LoadGenerator startClients(LoopbackTestbed testbed, long seed) throws Exception {
    return testbed.startClients(
        new LoadGenerator(
            testbed.vertx(), LabSettings.CLIPS, REQUEST_TIMEOUT_MILLIS, seed, ignored -> {}),
        CONNECTIONS,
        REQUESTS_PER_SECOND);
  }

  private static long drain(LoopbackTestbed testbed) throws Exception {
    return testbed.callOnLoop(
        () -> {
          testbed.putCache(DRAINED_CACHE, EndpointState.DRAINING);
          return System.nanoTime();
        });
  }

  private static void fillReport(
      LoadGenerator loadGenerator,
      long lastRequestAfterDrainNanos,
      PrintStream out,
      ExperimentReport report) {
    out.printf(
        "last request to e2 arrived %.1f ms after its drain was written to the registry%n",
        lastRequestAfterDrainNanos / 1e6);
    for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
      report.figure(outcome.name().toLowerCase(Locale.ROOT), loadGenerator.countOf(outcome));
    }
    report
        .figure("p50_ms", loadGenerator.latency().getValueAtPercentile(50) / 1000.0)
        .figure("p99_ms", loadGenerator.latency().getValueAtPercentile(99) / 1000.0)
        .figure("drained_after_ms", lastRequestAfterDrainNanos / 1_000_000)
        .bar("no request lost", loadGenerator.countOf(LoadGenerator.Outcome.LOST) == 0)
        .bar("no request answered twice", loadGenerator.countOf(LoadGenerator.Outcome.TWICE) == 0)
        .bar(
            "no request to a drained cache after 250 ms (plus 50 ms tolerance)",
            lastRequestAfterDrainNanos < MAX_DRAIN_NANOS);
  }

  /** Returns the explanation of an outcome that is printed next to its count. */
  private static String describe(LoadGenerator.Outcome outcome) {
    return switch (outcome) {
      case RETURNED -> "returned by a cache";
      case SHED -> "rejected, not executed; the response names a time to retry after";
      case ERRORED -> "failed; may have been executed";
      case LOST -> "no response before the timeout";
      case TWICE -> "more than one response";
    };
  }

  private static void printOutcomes(
      LoadGenerator loadGenerator, LoopbackTestbed testbed, PrintStream out) {
    for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
      out.printf("  %-9s %6d  %s%n", outcome, loadGenerator.countOf(outcome), describe(outcome));
    }
    out.printf(
        "  latency   p50 %.1f ms, p99 %.1f ms, max %.1f ms%n",
        loadGenerator.latency().getValueAtPercentile(50) / 1e3,
        loadGenerator.latency().getValueAtPercentile(99) / 1e3,
        loadGenerator.latency().getMaxValue() / 1e3);
    for (StandInCache cache : testbed.caches()) {
      out.printf(
          "  %-3s %6d requests, %d hits, %d fills of other caches%n",
          cache.id(), cache.requestCount(), cache.hitCount(), cache.fillCount());
    }
  }
}
