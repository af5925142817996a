package org.amberpath.lab.membership;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.membership.MembershipTimetable.Fault;
import org.amberpath.lab.testbed.NetworkLinks;
import org.amberpath.lab.testbed.NetworkLinks.LinkCondition;
import org.amberpath.lab.testbed.ProcessTestbed;
import org.amberpath.lab.testbed.Timetable;

/**
 * Fault-injection experiment with real gateway processes that form a fleet: processes are killed,
 * paused, terminated and restarted, and links between them are cut, lossy and slow. The timetable
 * of faults is drawn from the seed before any process starts.
 */
@SuppressWarnings("try") // Closing the testbed blocks; an interrupt ends the experiment.
public final class MembershipExperiment {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long WARM_UP_MILLIS = 8000;
  private static final long DISCOVERY_CHANGE_INTERVAL_MILLIS = 400;
  private static final long OBSERVATION_INTERVAL_MILLIS = 200;
  private static final long MAX_SETTLE_MILLIS = 10_000;
  private static final int REQUESTS_PER_SECOND = 40;
  private static final int EXTRA_GATEWAY_ONE_IN = 3;

  /**
   * Maximum number of datagrams that a gateway may send in any second. It follows from the
   * protocol's own bounds for two probe intervals: forty answers and eight pages of a member list
   * in each, plus direct probes and probes on behalf of others.
   */
  private static final long MAX_DATAGRAMS_PER_SECOND = 120;

  private static final long MAX_BYTES_PER_SECOND = 48 << 10;
  private static final double MAX_UNJUDGED_SHARE = 0.2;
  private static final double MAX_SERVICE_DIFFERENCE = 0.02;
  private static final double ROUNDING = 1e-9;
  private static final double REPORT_SCALE = 10_000;
  private static final LinkCondition LOSSY = new LinkCondition(false, 0.3, 0.1, 300);

  /**
   * Parameters of an experiment.
   *
   * @param seed the seed of the timetable of faults
   * @param gateways the number of gateway processes
   * @param seconds the length of the period in which faults begin
   * @param baseline whether the same timetable is also run with [fleet] off, for comparison
   * @param folder the directory in which the files of a run are created
   */
  public record Plan(long seed, int gateways, int seconds, boolean baseline, Path folder) {}

  private final Plan plan;
  private final List<Fault> faults;
  private final int expectedMembers;
  private final PrintStream out;

  private MembershipExperiment(Plan plan, PrintStream out) {
    this.plan = plan;
    this.out = out;
    // In one run of three there is one gateway more than the configured fleet size.
    expectedMembers = plan.seed % EXTRA_GATEWAY_ONE_IN == 0 ? plan.gateways - 1 : plan.gateways;
    faults = MembershipTimetable.draw(plan.gateways, plan.seconds, new SplittableRandom(plan.seed));
  }

  /** Runs the timetable, and then again with [fleet] off if the plan asks for a baseline. */
  public static ExperimentReport run(Plan plan, PrintStream out) throws Exception {
    return new MembershipExperiment(plan, out).run();
  }

  private ExperimentReport run() throws Exception {
    faults.forEach(out::println);
    ExperimentReport result =
        new ExperimentReport(plan.seed)
            .figure("gateways", plan.gateways)
            .figure("told", expectedMembers)
            .figure("faults", faults.size());
    double served = runWithFleet(result);
    if (plan.baseline) {
      double servedWithoutFleet = runWithoutFleet();
      result.figure("served_without", rounded(servedWithoutFleet));
      if (expectedMembers == plan.gateways) {
        result.bar(
            "share of requests served at most 0.02 lower than without [fleet]",
            served >= servedWithoutFleet - MAX_SERVICE_DIFFERENCE);
      }
    }
    return result;
  }

  private static double rounded(double value) {
    return Math.round(value * REPORT_SCALE) / REPORT_SCALE;
  }

  private ProcessTestbed openTestbed(String folderName, int members) throws Exception {
    Path folder = Files.createDirectories(plan.folder.resolve(folderName + plan.seed));
    deleteFiles(folder);
    return new ProcessTestbed(
        new ProcessTestbed.Plan(plan.seed, plan.gateways, members, REQUESTS_PER_SECOND, folder));
  }

  private static void deleteFiles(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  private double runWithFleet(ExperimentReport result) throws Exception {
    try (ProcessTestbed testbed = openTestbed("fleet-", expectedMembers)) {
      MembershipObserver observer = new MembershipObserver(testbed, plan.gateways);
      testbed.startAll();
      Thread.sleep(WARM_UP_MILLIS);
      long startedNanos = System.nanoTime();
      Timetable timetable = timetable(testbed, observer);
      for (long at = 0; at < endMillis(); at += OBSERVATION_INTERVAL_MILLIS) {
        timetable.add(at, "observe", observer::observe);
      }
      timetable.sort();
      timetable.run(startedNanos);
      long settledAfterMillis = awaitSettled(observer);
      double served = testbed.servedShare(startedNanos, System.nanoTime());
      String incompleteViews = settledAfterMillis < 0 ? observer.describeIncompleteViews() : "";
      Map<String, Long> outcomes = reportService(testbed, served, result);
      result
          .figure("settled_after_ms", settledAfterMillis)
          .bar(
              "every view contains all gateways within 10 s of the last fault"
                  + (incompleteViews.isEmpty() ? "" : ": " + incompleteViews),
              settledAfterMillis >= 0);
      reportFleet(testbed, observer, result);
      result
          .bar("no GET lost", outcomes.get("lost") == 0)
          .bar("no request answered twice", outcomes.get("twice") == 0)
          .bar(
              "at least four fifths of the answers judged",
              testbed.auditor().unjudgedShare() <= MAX_UNJUDGED_SHARE)
          .bar("no SEVERE line in the logs", testbed.severeLines() == 0);
      return served;
    }
  }

  private double runWithoutFleet() throws Exception {
    try (ProcessTestbed testbed = openTestbed("without-", 0)) {
      MembershipObserver observer = new MembershipObserver(testbed, plan.gateways);
      testbed.startAll();
      Thread.sleep(WARM_UP_MILLIS);
      long startedNanos = System.nanoTime();
      Timetable timetable = timetable(testbed, observer);
      timetable.sort();
      timetable.run(startedNanos);
      Thread.sleep(MAX_SETTLE_MILLIS);
      double served = testbed.servedShare(startedNanos, System.nanoTime());
      out.println(
          "without [fleet]: "
              + testbed.stopClientsAndCountOutcomes()
              + ", violations: "
              + testbed.auditor().violations());
      return served;
    }
  }

  private static Map<String, Long> reportService(
      ProcessTestbed testbed, double served, ExperimentReport result) throws Exception {
    Map<String, Long> outcomes = testbed.stopClientsAndCountOutcomes();
    outcomes.forEach(result::figure);
    testbed.auditor().figures().forEach(result::figure);
    result
        .figure("served", rounded(served))
        .figure("unjudged", rounded(testbed.auditor().unjudgedShare()));
    return outcomes;
  }

  private static void reportFleet(
      ProcessTestbed testbed, MembershipObserver observer, ExperimentReport result) {
    NetworkLinks links = testbed.links();
    observer.reportCrashes(result);
    result
        .figure("datagrams", links.forwardedDatagrams())
        .figure("datagrams_dropped", links.droppedDatagrams())
        .figure("most_datagrams_in_a_second", links.maxDatagramsPerSecond())
        .figure("most_bytes_in_a_second", links.maxBytesPerSecond())
        .figure("most_parts", rounded(observer.maxShareSum()))
        .figure("looks", observer.observations())
        .figure("wrong", testbed.auditor().violations())
        .bar(
            "no rule violated, no running gateway reported as lost",
            testbed.auditor().violations().isEmpty())
        .bar(
            "at most 120 datagrams and 48 KiB sent by a gateway in any second",
            links.maxDatagramsPerSecond() <= MAX_DATAGRAMS_PER_SECOND
                && links.maxBytesPerSecond() <= MAX_BYTES_PER_SECOND)
        .bar("shares sum to at most one", observer.maxShareSum() <= 1 + ROUNDING);
  }

  /**
   * Waits until every gateway knows all others.
   *
   * @return the time that it took in milliseconds, or -1 if it took more than 10 seconds
   */
  private long awaitSettled(MembershipObserver observer) throws InterruptedException {
    long faultsEndedNanos = System.nanoTime();
    while (System.nanoTime() < faultsEndedNanos + MAX_SETTLE_MILLIS * NANOS_PER_MILLI) {
      Thread.sleep(OBSERVATION_INTERVAL_MILLIS);
      observer.observe();
      if (observer.allViewsComplete()) {
        return (System.nanoTime() - faultsEndedNanos) / NANOS_PER_MILLI;
      }
    }
    return -1;
  }

  // ---- The timetable.

  private long endMillis() {
    return faults.stream().mapToLong(Fault::endMillis).reduce(plan.seconds * 1000L, Math::max);
  }

  private Timetable timetable(ProcessTestbed testbed, MembershipObserver observer) {
    Timetable timetable = new Timetable();
    for (Fault fault : faults) {
      timetable.addFault(
          fault.atMillis(),
          fault.durationMillis(),
          fault.kind().name(),
          () -> beginFault(fault, testbed, observer),
          () -> endFault(fault, testbed, observer));
    }
    for (long at = 0; at < endMillis(); at += DISCOVERY_CHANGE_INTERVAL_MILLIS) {
      timetable.add(at, "change discovery", testbed::changeDiscovery);
    }
    return timetable;
  }

  private void beginFault(Fault fault, ProcessTestbed testbed, MembershipObserver observer)
      throws Exception {
    observer.faultBegan(fault.durationMillis());
    switch (fault.kind()) {
      case KILL -> {
        testbed.kill(fault.gateway());
        observer.killed(fault.gateway());
      }
      case TERMINATE -> testbed.terminate(fault.gateway());
      case PAUSE -> testbed.pause(fault.gateway(), fault.durationMillis());
      case PARTITION -> partition(testbed, fault.sideBits());
      case LOSSY -> testbed.setAllLinks(LOSSY);
      default -> testbed.setLink(fault.gateway(), fault.peer(), LinkCondition.CUT);
    }
  }

  private static void endFault(Fault fault, ProcessTestbed testbed, MembershipObserver observer)
      throws Exception {
    switch (fault.kind()) {
      case KILL -> {
        observer.restarted(fault.gateway());
        testbed.start(fault.gateway());
      }
      case TERMINATE -> {
        testbed.awaitExit(fault.gateway());
        testbed.start(fault.gateway());
      }
      case PAUSE -> {}
      default -> testbed.setAllLinks(LinkCondition.HEALTHY);
    }
  }

  private void partition(ProcessTestbed testbed, long sideBits) throws Exception {
    for (int from = 0; from < plan.gateways; from++) {
      for (int to = 0; to < plan.gateways; to++) {
        if ((sideBits >> from & 1) != (sideBits >> to & 1)) {
          testbed.setLink(from, to, LinkCondition.CUT);
        }
      }
    }
  }
}
