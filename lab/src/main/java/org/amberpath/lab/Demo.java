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
      testbed.open(1, EDGE_CACHES);
      testbed.serve(
          (vertx, listener, random) ->
              new RegistrySource(
                  vertx,
                  testbed.registrySettings(RegistrySettings.ProtocolKind.ETCD),
                  listener,
                  random));
      out.println(
          "a gateway at 127.0.0.1:"
              + testbed.gatewayPort()
              + ", 4 edge caches, a hub, the origin; "
              + REQUESTS_PER_SECOND
              + " GETs/s for "
              + seconds
              + " s");
      LoadGenerator loadGenerator = startClients(testbed, seed);
      Thread.sleep(phaseMillis);
      out.println("cache e1 dies");
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
        "last GET to e2 %.1f ms after its drain was written%n", lastRequestAfterDrainNanos / 1e6);
    for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
      report.figure(outcome.name().toLowerCase(Locale.ROOT), loadGenerator.countOf(outcome));
    }
    report
        .figure("p50_ms", loadGenerator.latency().getValueAtPercentile(50) / 1000.0)
        .figure("p99_ms", loadGenerator.latency().getValueAtPercentile(99) / 1000.0)
        .figure("drained_after_ms", lastRequestAfterDrainNanos / 1_000_000)
        .bar("no GET lost", loadGenerator.countOf(LoadGenerator.Outcome.LOST) == 0)
        .bar("one answer each", loadGenerator.countOf(LoadGenerator.Outcome.TWICE) == 0)
        .bar("nothing new 250 ms after a drain", lastRequestAfterDrainNanos < MAX_DRAIN_NANOS);
  }

  /** Returns the explanation of an outcome that is printed next to its count. */
  private static String describe(LoadGenerator.Outcome outcome) {
    return switch (outcome) {
      case RETURNED -> "a cache made it";
      case SHED -> "not run; told when to come back";
      case ERRORED -> "may have run, not returned";
      case LOST -> "no answer in time";
      case TWICE -> "more than one answer";
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
          "  %-3s %6d GETs, %d from its own copies, gave %d parts%n",
          cache.id(), cache.requestCount(), cache.hitCount(), cache.fillCount());
    }
  }
}
