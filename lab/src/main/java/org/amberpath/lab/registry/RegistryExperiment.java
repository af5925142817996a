package org.amberpath.lab.registry;

import java.util.List;
import java.util.Locale;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.LoadGenerator;
import org.amberpath.lab.LoopbackTestbed;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySource;

/**
 * Fault-injection experiment: a real gateway on loopback sockets whose stand-in registry changes
 * several hundred times a minute, compacts its history, lags, stops responding and drops
 * connections, at random times derived from a seed. In each quiet period the endpoints that the
 * gateway has applied are compared with the registry's contents; the requests that caches receive
 * and the responses that clients receive are checked against the limits for drains and purges.
 */
public final class RegistryExperiment {
  private static final int EDGE_CACHES = 8;
  private static final int ENDPOINTS = 3;
  private static final int CONNECTIONS = 8;
  private static final int REQUESTS_PER_SECOND = 150;
  private static final long REQUEST_TIMEOUT_MILLIS = 1500;
  private static final long RESPONSE_WAIT_MILLIS = 1700;
  private static final long FAULT_PERIOD_MILLIS = 4000;
  private static final long FAULT_EXPIRY_MILLIS = 1600;
  private static final long QUIET_PERIOD_MILLIS = 2500;

  /** Load before judging starts, so that the JIT compiler's warm-up does not count as a fault. */
  private static final long WARM_UP_MILLIS = 2500;

  private static final long NANOS_PER_SECOND = 1_000_000_000;
  private static final double MAX_UNJUDGED_SHARE = 0.2;

  private final long seed;
  private final LoopbackTestbed testbed;
  private final RegistryJudge judge;
  private final RegistryFaultInjector faultInjector;
  private long quietPeriods;

  private RegistryExperiment(long seed) {
    this.seed = seed;
    testbed = new LoopbackTestbed(seed);
    judge = new RegistryJudge(testbed);
    faultInjector = new RegistryFaultInjector(testbed, judge, EDGE_CACHES, seed);
  }

  /** Runs fault periods for at least the given seconds; the last one ends with a quiet period. */
  public static ExperimentReport run(long seed, int seconds, RegistrySettings.ProtocolKind protocol)
      throws Exception {
    return new RegistryExperiment(seed).run(seconds, protocol);
  }

  @SuppressWarnings("try") // Closing waits; an interrupt ends the experiment.
  private ExperimentReport run(int seconds, RegistrySettings.ProtocolKind protocol)
      throws Exception {
    ExperimentReport result = new ExperimentReport(seed).figure("form", protocol.name());
    try (testbed) {
      testbed.startStandIns(ENDPOINTS, EDGE_CACHES);
      testbed.startGateway(
          (vertx, listener, random) ->
              new RegistrySource(
                  vertx,
                  testbed.registrySettings(protocol),
                  judge.recordedList().forwardingTo(listener),
                  random));
      LoadGenerator loadGenerator =
          testbed.startClients(
              new LoadGenerator(
                  testbed.vertx(),
                  LabSettings.CLIPS,
                  REQUEST_TIMEOUT_MILLIS,
                  seed,
                  judge::responseReceived),
              CONNECTIONS,
              REQUESTS_PER_SECOND);
      Thread.sleep(WARM_UP_MILLIS);
      long startedNanos = System.nanoTime();
      testbed.runOnLoop(() -> judge.start(startedNanos));
      testbed.watchGatewayLoop(RegistryJudge.TICK_MILLIS, judge::gatewayLoopLate);
      do {
        runFaultPeriod();
      } while (System.nanoTime() < startedNanos + seconds * NANOS_PER_SECOND);
      testbed.runOnLoop(loadGenerator::stop);
      Thread.sleep(RESPONSE_WAIT_MILLIS);
      report(loadGenerator, System.nanoTime() - startedNanos, result);
    }
    return result;
  }

  /** Runs one period of changes and faults, heals them, and compares views after a quiet period. */
  private void runFaultPeriod() throws Exception {
    testbed.runOnLoop(faultInjector::start);
    Thread.sleep(FAULT_PERIOD_MILLIS);
    testbed.runOnLoop(faultInjector::stop);
    Thread.sleep(FAULT_EXPIRY_MILLIS);
    testbed.runOnLoop(faultInjector::heal);
    Thread.sleep(QUIET_PERIOD_MILLIS);
    quietPeriods++;
    testbed.runOnLoop(judge::compareViews);
  }

  private void report(LoadGenerator loadGenerator, long ranNanos, ExperimentReport result) {
    for (LoadGenerator.Outcome outcome : LoadGenerator.Outcome.values()) {
      result.figure(outcome.name().toLowerCase(Locale.ROOT), loadGenerator.countOf(outcome));
    }
    List<String> violations = judge.violations();
    result
        .figure("changes", faultInjector.changeCount())
        .figure("faults", faultInjector.faultCount())
        .figure("restores", faultInjector.restoreCount())
        .figure("drains", faultInjector.drainCount())
        .figure("purges", faultInjector.purgeCount())
        .figure("quiet_times", quietPeriods)
        .figure("listings", judge.recordedList().listingCount())
        .figure("last_get_after_drain_ms", judge.worstDrainMillis())
        .figure("unjudged_ms", judge.unjudgedNanos() * 1000 / NANOS_PER_SECOND)
        .figure("p99_ms", loadGenerator.latency().getValueAtPercentile(99) / 1000.0)
        .figure("wrong", violations)
        .bar("view equals registry, drains, purges, order", violations.isEmpty())
        .bar("not void: four fifths judged", judge.unjudgedNanos() <= ranNanos * MAX_UNJUDGED_SHARE)
        .bar("no GET lost", loadGenerator.countOf(LoadGenerator.Outcome.LOST) == 0)
        .bar("one answer each", loadGenerator.countOf(LoadGenerator.Outcome.TWICE) == 0);
  }
}
