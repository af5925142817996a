package org.amberpath.lab;

import java.io.PrintStream;
import java.util.Locale;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySource;
import org.amberpath.routing.EndpointState;

/**
 * The main job, seen: a gateway among stand-ins, a cache that dies and one that is drained, and
 * what came of each GET.
 */
@SuppressWarnings("try") // Closing waits; an interrupt ends the experiment.
public final class Demo {
  private static final int REQUESTS_PER_SECOND = 200;
  private static final int CONNECTIONS = 8;

  private Demo() {}

  public static ExperimentReport run(long seed, int seconds, PrintStream out) throws Exception {
    ExperimentReport result = new ExperimentReport(seed);
    try (LoopbackTestbed testbed = new LoopbackTestbed(seed)) {
      testbed.open(1, 4);
      testbed.serve(
          (vertx, endpointListener, chance) ->
              new RegistrySource(
                  vertx,
                  testbed.registrySettings(RegistrySettings.ProtocolKind.ETCD),
                  endpointListener,
                  chance));
      out.println(
          "a gateway at 127.0.0.1:"
              + testbed.gateway.port()
              + ", 4 edge caches, a hub, the origin; "
              + REQUESTS_PER_SECOND
              + " GETs/s for "
              + seconds
              + " s");
      LoadGenerator loadGenerator =
          new LoadGenerator(testbed.vertx, LabSettings.CLIPS, 1500, seed, ignored -> {});
      LoopbackTestbed.await(
          testbed.callOnLoop(
              () -> loadGenerator.start(testbed.gateway.port(), CONNECTIONS, REQUESTS_PER_SECOND)));
      Thread.sleep(seconds * 1000L / 3);
      out.println("cache e1 dies");
      testbed.callOnLoop(
          () -> {
            testbed.caches.get("e1").close();
            return null;
          });
      Thread.sleep(seconds * 1000L / 3);
      out.println("cache e2 is drained");
      long drainedAtNanos =
          testbed.callOnLoop(
              () -> {
                testbed.putCache("e2", EndpointState.DRAINING);
                return System.nanoTime();
              });
      Thread.sleep(seconds * 1000L / 3);
      testbed.callOnLoop(
          () -> {
            loadGenerator.stop();
            return null;
          });
      Thread.sleep(1700);
      testbed.callOnLoop(
          () -> {
            printTable(loadGenerator, testbed, out);
            long lastRequestAfterNanos =
                testbed.caches.get("e2").lastRequestNanos() - drainedAtNanos;
            out.printf(
                "last GET to e2 %.1f ms after its drain was written%n",
                lastRequestAfterNanos / 1e6);
            for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
              result.figure(
                  outcome.name().toLowerCase(Locale.ROOT), loadGenerator.countOf(outcome));
            }
            result
                .figure("p50_ms", loadGenerator.latency().getValueAtPercentile(50) / 1000.0)
                .figure("p99_ms", loadGenerator.latency().getValueAtPercentile(99) / 1000.0)
                .figure("drained_after_ms", lastRequestAfterNanos / 1_000_000)
                .bar("no GET lost", loadGenerator.countOf(LoadGenerator.Outcome.LOST) == 0)
                .bar("one answer each", loadGenerator.countOf(LoadGenerator.Outcome.TWICE) == 0)
                .bar("nothing new 250 ms after a drain", lastRequestAfterNanos < 300_000_000);
            return null;
          });
    }
    return result;
  }

  /** What an end means to who asked. */
  private static String meaning(LoadGenerator.Outcome outcome) {
    return switch (outcome) {
      case RETURNED -> "a cache made it";
      case SHED -> "not run; told when to come back";
      case ERRORED -> "may have run, not returned";
      case LOST -> "no answer in time";
      case TWICE -> "more than one answer";
    };
  }

  private static void printTable(
      LoadGenerator loadGenerator, LoopbackTestbed testbed, PrintStream out) {
    for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
      out.printf("  %-9s %6d  %s%n", outcome, loadGenerator.countOf(outcome), meaning(outcome));
    }
    out.printf(
        "  latency   p50 %.1f ms, p99 %.1f ms, max %.1f ms%n",
        loadGenerator.latency().getValueAtPercentile(50) / 1e3,
        loadGenerator.latency().getValueAtPercentile(99) / 1e3,
        loadGenerator.latency().getMaxValue() / 1e3);
    testbed
        .caches
        .values()
        .forEach(
            cache ->
                out.printf(
                    "  %-3s %6d GETs, %d from its own copies, gave %d parts%n",
                    cache.id(), cache.requestCount(), cache.hitCount(), cache.fillCount()));
  }
}
