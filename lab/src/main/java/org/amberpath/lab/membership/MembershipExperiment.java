package org.amberpath.lab.membership;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.testbed.NetworkLinks.LinkCondition;
import org.amberpath.lab.testbed.ProcessTestbed;

/**
 * Real gateways that know one another, while processes are killed, stopped, ended and started anew,
 * and links between them are cut, lossy and late, from a seed. The timetable is drawn before
 * anything starts.
 */
@SuppressWarnings("try") // Closing waits; an interrupt ends the experiment.
public final class MembershipExperiment {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long WARM_UP_MILLIS = 8000;
  private static final long DISCOVERY_CHANGE_MILLIS = 400;
  private static final long OBSERVE_MILLIS = 200;
  private static final long MAX_SETTLE_MILLIS = 10_000;
  private static final long FAULT_FREE_MILLIS = 15_000;
  private static final long MAX_HEARD_MILLIS = 60_000;

  /**
   * Bars of a day: how far service may be off, and what one gateway may send in any second. That is
   * what the view's own bounds come to: forty answers in each of two periods, eight stretches of a
   * list in each, probes and those for others.
   */
  private static final long MAX_DATAGRAMS_PER_SECOND = 120;

  private static final long MAX_BYTES_PER_SECOND = 48 << 10;

  private static final double MAX_UNJUDGED_SHARE = 0.2;
  private static final double MAX_SERVICE_DIFFERENCE = 0.02;
  private static final double ROUNDING = 1e-9;
  private static final String LOST = "lost";

  /** What is to be tried. */
  public record Plan(long seed, int gateways, int seconds, boolean baseline, Path folder) {}

  /** One fault, and for how long; one and other are gateways, side is a set of them by bits. */
  private record Fault(
      long atMillis, String kind, int gateway, int peer, long sideBits, long durationMillis) {
    @Override
    public String toString() {
      String whom =
          kind.equals("partition")
              ? Long.toBinaryString(sideBits)
              : kind.equals("lossy")
                  ? "all"
                  : kind.equals("oneway") ? "g" + gateway + " to g" + peer : "g" + gateway;
      return String.format(
          Locale.ROOT, "%6d ms  %-9s %s for %d ms", atMillis, kind, whom, durationMillis);
    }
  }

  private record Step(long atMillis, Action action) {}

  private interface Action {
    void run() throws Exception;
  }

  private final Plan plan;
  private final List<Fault> faults = new ArrayList<>();
  private final Histogram crashHeardMillis = new Histogram(MAX_HEARD_MILLIS, 3);
  private final int expectedMembers;
  private long settledAfterMillis = -1;
  private long lastFaultNanos;
  private long observations;
  private double maxShareSum;
  private ProcessTestbed testbed;

  private MembershipExperiment(Plan plan) {
    this.plan = plan;
    // On one day of three one gateway more runs than the operators told.
    expectedMembers = plan.seed % 3 == 0 ? plan.gateways - 1 : plan.gateways;
    drawFaults(new SplittableRandom(plan.seed));
  }

  private void drawFaults(SplittableRandom random) {
    long[] busyUntil = new long[plan.gateways];
    long atMillis = 0;
    long linksUntilMillis = 0;
    while (atMillis < plan.seconds * 1000L) {
      int gateway = random.nextInt(plan.gateways);
      int peer = random.nextInt(plan.gateways);
      long nowNanos = atMillis;
      long failedGateways =
          java.util.Arrays.stream(busyUntil).filter(untilMillis -> untilMillis > nowNanos).count();
      boolean mayFail = busyUntil[gateway] <= atMillis && 2 * (failedGateways + 1) <= plan.gateways;
      switch (random.nextInt(6)) {
        case 0 ->
            addProcessFault(
                atMillis, "kill", gateway, random.nextLong(1000, 12_000), mayFail, busyUntil);
        case 1 ->
            addProcessFault(
                atMillis, "stand", gateway, random.nextLong(300, 8000), mayFail, busyUntil);
        case 2 ->
            addProcessFault(
                atMillis, "term", gateway, random.nextLong(2500, 6000), mayFail, busyUntil);
        case 3 -> {
          if (linksUntilMillis <= atMillis) {
            long durationMillis = random.nextLong(1000, 8000);
            long sideBits = 1 + random.nextLong((1L << plan.gateways) - 2);
            faults.add(new Fault(atMillis, "partition", 0, 0, sideBits, durationMillis));
            linksUntilMillis = atMillis + durationMillis;
          }
        }
        case 4 -> {
          if (linksUntilMillis <= atMillis) {
            long durationMillis = random.nextLong(1000, 6000);
            faults.add(new Fault(atMillis, "lossy", 0, 0, 0, durationMillis));
            linksUntilMillis = atMillis + durationMillis;
          }
        }
        default -> {
          if (linksUntilMillis <= atMillis && gateway != peer) {
            long durationMillis = random.nextLong(1000, 8000);
            faults.add(new Fault(atMillis, "oneway", gateway, peer, 0, durationMillis));
            linksUntilMillis = atMillis + durationMillis;
          }
        }
      }
      // Two faults in the same millisecond among them.
      atMillis += random.nextInt(4) == 0 ? 0 : random.nextLong(200, 3000);
    }
  }

  private void addProcessFault(
      long atMillis,
      String kind,
      int gateway,
      long durationMillis,
      boolean mayFail,
      long[] busyUntil) {
    if (mayFail) {
      faults.add(new Fault(atMillis, kind, gateway, 0, 0, durationMillis));
      // A start takes its time, and one that has just started is left alone for a moment.
      busyUntil[gateway] = atMillis + durationMillis + 4000;
    }
  }

  /** Plays the day, and the same day with [fleet] off beside it if so planned. */
  public static ExperimentReport run(Plan plan, PrintStream out) throws Exception {
    MembershipExperiment experiment = new MembershipExperiment(plan);
    experiment.faults.forEach(out::println);
    ExperimentReport result =
        new ExperimentReport(plan.seed)
            .figure("gateways", plan.gateways)
            .figure("told", experiment.expectedMembers)
            .figure("faults", experiment.faults.size());
    double served = experiment.run(true, result, out);
    if (plan.baseline) {
      double without =
          new MembershipExperiment(plan).run(false, new ExperimentReport(plan.seed), out);
      result.figure("served_without", rounded(without));
      if (experiment.expectedMembers == plan.gateways) {
        result.bar(
            "served within 0.02 of a day without", served >= without - MAX_SERVICE_DIFFERENCE);
      }
    }
    return result;
  }

  private static double rounded(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }

  private double run(boolean withFleet, ExperimentReport result, PrintStream out) throws Exception {
    Path folder =
        Files.createDirectories(
            plan.folder.resolve((withFleet ? "fleet-" : "without-") + plan.seed));
    deleteFiles(folder);
    try (ProcessTestbed opened =
        new ProcessTestbed(
            new ProcessTestbed.Plan(
                plan.seed, plan.gateways, withFleet ? expectedMembers : 0, 40, folder))) {
      testbed = opened;
      testbed.startAll();
      Thread.sleep(WARM_UP_MILLIS);
      long beganNanos = System.nanoTime();
      playFaults(beganNanos, withFleet);
      long calmNanos = System.nanoTime();
      for (long until = calmNanos + MAX_SETTLE_MILLIS * NANOS_PER_MILLI;
          System.nanoTime() < until && (settledAfterMillis < 0 || !withFleet); ) {
        Thread.sleep(OBSERVE_MILLIS);
        observe(withFleet);
        settledAfterMillis =
            withFleet && settledAfterMillis < 0 && allViewsComplete()
                ? (System.nanoTime() - calmNanos) / NANOS_PER_MILLI
                : settledAfterMillis;
      }
      double served = testbed.servedShare(beganNanos, System.nanoTime());
      String incompleteViews = withFleet && settledAfterMillis < 0 ? describeIncompleteViews() : "";
      var outcomes = testbed.settle();
      outcomes.forEach(result::figure);
      testbed.auditor().figures().forEach(result::figure);
      result
          .figure("served", rounded(served))
          .figure("unjudged", rounded(testbed.auditor().unjudgedShare()));
      if (withFleet) {
        result
            .figure("settled_after_ms", settledAfterMillis)
            .figure("heard_of_a_kill_p50_ms", crashHeardMillis.getValueAtPercentile(50))
            .figure("heard_of_a_kill_max_ms", crashHeardMillis.getMaxValue())
            .figure("kills_heard_of", crashHeardMillis.getTotalCount())
            .figure("datagrams", testbed.links().forwardedDatagrams())
            .figure("datagrams_dropped", testbed.links().droppedDatagrams())
            .figure("most_datagrams_in_a_second", testbed.links().maxDatagramsPerSecond())
            .figure("most_bytes_in_a_second", testbed.links().maxBytesPerSecond())
            .figure("most_parts", rounded(maxShareSum))
            .figure("looks", observations)
            .figure("wrong", testbed.auditor().violations())
            .bar(
                "every view is those that run within 10 s of the last fault"
                    + (incompleteViews.isEmpty() ? "" : ": " + incompleteViews),
                settledAfterMillis >= 0)
            .bar(
                "no rule broken, nobody there called lost",
                testbed.auditor().violations().isEmpty())
            .bar(
                "under the ceiling in every second",
                testbed.links().maxDatagramsPerSecond() <= MAX_DATAGRAMS_PER_SECOND
                    && testbed.links().maxBytesPerSecond() <= MAX_BYTES_PER_SECOND)
            .bar("parts sum to one at most", maxShareSum <= 1 + ROUNDING)
            .bar("no GET lost", outcomes.get("lost") == 0)
            .bar("one answer each", outcomes.get("twice") == 0)
            .bar(
                "not void: four fifths judged",
                testbed.auditor().unjudgedShare() <= MAX_UNJUDGED_SHARE)
            .bar("no failure in the logs", testbed.severeLines() == 0);
      } else {
        out.println("without [fleet]: " + outcomes + ", wrong: " + testbed.auditor().violations());
      }
      return served;
    }
  }

  private static void deleteFiles(Path folder) throws IOException {
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  // ---- The timetable, played.

  private void playFaults(long beganNanos, boolean withFleet) throws Exception {
    List<Step> steps = new ArrayList<>();
    for (Fault fault : faults) {
      steps.add(new Step(fault.atMillis, () -> beginFault(fault)));
      steps.add(new Step(fault.atMillis + fault.durationMillis, () -> endFault(fault)));
    }
    long end = plan.seconds * 1000L;
    for (Fault fault : faults) {
      end = Math.max(end, fault.atMillis + fault.durationMillis);
    }
    for (long at = 0; at < end; at += DISCOVERY_CHANGE_MILLIS) {
      steps.add(new Step(at, () -> testbed.changeDiscovery()));
    }
    for (long at = 0; at < end; at += OBSERVE_MILLIS) {
      steps.add(new Step(at, () -> observe(withFleet)));
    }
    steps.sort(Comparator.comparingLong(Step::atMillis));
    for (Step step : steps) {
      long wait =
          beganNanos / NANOS_PER_MILLI + step.atMillis - System.nanoTime() / NANOS_PER_MILLI;
      if (wait > 0) {
        Thread.sleep(wait);
      }
      step.action.run();
    }
  }

  private void beginFault(Fault fault) throws Exception {
    lastFaultNanos =
        Math.max(lastFaultNanos, System.nanoTime() + fault.durationMillis * NANOS_PER_MILLI);
    switch (fault.kind) {
      case "kill" -> {
        testbed.kill(fault.gateway);
        killedAtNanos[fault.gateway % killedAtNanos.length] = System.nanoTime();
      }
      case "term" -> testbed.terminate(fault.gateway);
      case "stand" -> testbed.pause(fault.gateway, fault.durationMillis);
      case "partition" -> partition(fault.sideBits, LinkCondition.CUT);
      case "lossy" -> testbed.setAllLinks(new LinkCondition(false, 0.3, 0.1, 300));
      default -> testbed.setLink(fault.gateway, fault.peer, LinkCondition.CUT);
    }
  }

  private void endFault(Fault fault) throws Exception {
    switch (fault.kind) {
      case "kill" -> {
        killedAtNanos[fault.gateway % killedAtNanos.length] = 0;
        testbed.start(fault.gateway);
      }
      case "term" -> {
        testbed.awaitExit(fault.gateway);
        testbed.start(fault.gateway);
      }
      case "stand" -> {}
      default -> testbed.setAllLinks(LinkCondition.HEALTHY);
    }
  }

  private void partition(long sideBits, LinkCondition condition) throws Exception {
    for (int from = 0; from < plan.gateways; from++) {
      for (int to = 0; to < plan.gateways; to++) {
        if ((sideBits >> from & 1) != (sideBits >> to & 1)) {
          testbed.setLink(from, to, condition);
        }
      }
    }
  }

  // ---- What is looked at.

  private final long[] killedAtNanos = new long[64];

  /**
   * The parts of all views that are there, and who is called lost that runs and that no fault
   * touches.
   */
  private void observe(boolean withFleet) {
    if (!withFleet) {
      return;
    }
    double shareSum = 0;
    long nowNanos = System.nanoTime();
    observations++;
    for (ProcessTestbed.GatewaySlot slot : testbed.slots()) {
      JsonObject view = slot.view();
      if (view == null || !slot.isRunning()) {
        continue;
      }
      shareSum += view.getDouble("part");
      for (Object one : view.getJsonArray("gateways")) {
        JsonObject other = (JsonObject) one;
        ProcessTestbed.GatewaySlot peerSlot =
            testbed.slots().get(Integer.parseInt(other.getString("name").substring(1)));
        if (other.getString("standing").equals(LOST)
            && isFaultFree(slot, nowNanos)
            && isFaultFree(peerSlot, nowNanos)) {
          testbed
              .auditor()
              .violation(slot.name() + " calls " + peerSlot.name() + " lost, which runs");
        }
      }
    }
    maxShareSum = Math.max(maxShareSum, shareSum);
    for (int one = 0; one < plan.gateways; one++) {
      if (killedAtNanos[one] != 0 && allKnowLost(one)) {
        crashHeardMillis.recordValue(
            Math.min(MAX_HEARD_MILLIS, (nowNanos - killedAtNanos[one]) / NANOS_PER_MILLI));
        killedAtNanos[one] = 0;
      }
    }
  }

  private boolean isFaultFree(ProcessTestbed.GatewaySlot slot, long nowNanos) {
    return slot.isRunning()
        && nowNanos - slot.runningSinceNanos() > FAULT_FREE_MILLIS * NANOS_PER_MILLI
        && nowNanos - lastFaultNanos > FAULT_FREE_MILLIS * NANOS_PER_MILLI;
  }

  private boolean allKnowLost(int lostGateway) {
    return testbed.slots().stream()
        .filter(slot -> slot.view() != null && slot.isRunning())
        .allMatch(
            slot ->
                slot.view().getJsonArray("gateways").stream()
                    .map(JsonObject.class::cast)
                    .noneMatch(
                        entry ->
                            entry.getString("name").equals("g" + lostGateway)
                                && !entry.getString("standing").equals(LOST)
                                && !entry.getString("standing").equals("left")));
  }

  private boolean allViewsComplete() {
    return testbed.slots().stream().allMatch(this::isViewComplete);
  }

  private boolean isViewComplete(ProcessTestbed.GatewaySlot slot) {
    JsonObject view = slot.view();
    return slot.isRunning()
        && view != null
        && view.getString("phase").equals("settled")
        && presentNames(view).size() == plan.gateways;
  }

  private static Set<String> presentNames(JsonObject view) {
    return view.getJsonArray("gateways").stream()
        .map(JsonObject.class::cast)
        .filter(
            entry ->
                entry.getString("standing").equals("alive")
                    || entry.getString("standing").equals("suspected"))
        .map(entry -> entry.getString("name"))
        .collect(
            Collectors.toCollection(
                () -> {
                  TreeSet<String> names = new TreeSet<>();
                  names.add(view.getString("name"));
                  return names;
                }));
  }

  private String describeIncompleteViews() {
    return testbed.slots().stream()
        .filter(slot -> !isViewComplete(slot))
        .map(
            slot ->
                slot.name()
                    + " "
                    + (slot.view() == null
                        ? "no view"
                        : slot.view().getString("phase") + " " + presentNames(slot.view())))
        .toList()
        .toString();
  }
}
