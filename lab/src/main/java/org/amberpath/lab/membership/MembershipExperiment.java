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
import org.amberpath.lab.testbed.NetworkLinks.Way;
import org.amberpath.lab.testbed.ProcessTestbed;

/**
 * Real gateways that know one another, while processes are killed, stopped, ended and started anew,
 * and links between them are cut, lossy and late, from a seed. The timetable is drawn before
 * anything starts.
 */
@SuppressWarnings("try") // Closing waits; an interrupt ends the experiment.
public final class MembershipExperiment {
  private static final long MS = 1_000_000, WARM_MS = 8000, NEWS_MS = 400, LOOK_MS = 200;
  private static final long SETTLED_MS = 10_000, TOUCHED_MS = 15_000, HIGHEST_MS = 60_000;

  /**
   * Bars of a day: how far service may be off, and what one gateway may send in any second. That is
   * what the view's own bounds come to: forty answers in each of two periods, eight stretches of a
   * list in each, probes and those for others.
   */
  private static final long MOST_DATAGRAMS = 120, MOST_BYTES = 48 << 10;

  private static final double UNJUDGED = 0.2, APART = 0.02, SLACK = 1e-9;
  private static final String LOSS = "lost";

  /** What is to be tried. */
  public record Plan(long seed, int gateways, int seconds, boolean baseline, Path folder) {}

  /** One fault, and for how long; one and other are gateways, side is a set of them by bits. */
  private record Fault(long atMs, String what, int one, int other, long side, long ms) {
    @Override
    public String toString() {
      String whom =
          what.equals("partition")
              ? Long.toBinaryString(side)
              : what.equals("lossy")
                  ? "all"
                  : what.equals("oneway") ? "g" + one + " to g" + other : "g" + one;
      return String.format(Locale.ROOT, "%6d ms  %-9s %s for %d ms", atMs, what, whom, ms);
    }
  }

  private record Step(long atMs, Work work) {}

  private interface Work {
    void run() throws Exception;
  }

  private final Plan plan;
  private final List<Fault> faults = new ArrayList<>();
  private final Histogram heard = new Histogram(HIGHEST_MS, 3);
  private final int told;
  private long healedMs = -1, lastFaultAt, partsSeen;
  private double mostParts;
  private ProcessTestbed rig;

  private MembershipExperiment(Plan plan) {
    this.plan = plan;
    // On one day of three one gateway more runs than the operators told.
    told = plan.seed % 3 == 0 ? plan.gateways - 1 : plan.gateways;
    draw(new SplittableRandom(plan.seed));
  }

  private void draw(SplittableRandom chance) {
    long[] busyUntil = new long[plan.gateways];
    long at = 0, linksUntil = 0;
    while (at < plan.seconds * 1000L) {
      int one = chance.nextInt(plan.gateways), other = chance.nextInt(plan.gateways);
      long now = at;
      long away = java.util.Arrays.stream(busyUntil).filter(until -> until > now).count();
      boolean free = busyUntil[one] <= at && 2 * (away + 1) <= plan.gateways;
      switch (chance.nextInt(6)) {
        case 0 -> add(at, "kill", one, chance.nextLong(1000, 12_000), free, busyUntil);
        case 1 -> add(at, "stand", one, chance.nextLong(300, 8000), free, busyUntil);
        case 2 -> add(at, "term", one, chance.nextLong(2500, 6000), free, busyUntil);
        case 3 -> {
          if (linksUntil <= at) {
            long ms = chance.nextLong(1000, 8000),
                side = 1 + chance.nextLong((1L << plan.gateways) - 2);
            faults.add(new Fault(at, "partition", 0, 0, side, ms));
            linksUntil = at + ms;
          }
        }
        case 4 -> {
          if (linksUntil <= at) {
            long ms = chance.nextLong(1000, 6000);
            faults.add(new Fault(at, "lossy", 0, 0, 0, ms));
            linksUntil = at + ms;
          }
        }
        default -> {
          if (linksUntil <= at && one != other) {
            long ms = chance.nextLong(1000, 8000);
            faults.add(new Fault(at, "oneway", one, other, 0, ms));
            linksUntil = at + ms;
          }
        }
      }
      // Two faults in the same millisecond among them.
      at += chance.nextInt(4) == 0 ? 0 : chance.nextLong(200, 3000);
    }
  }

  private void add(long at, String what, int one, long ms, boolean free, long[] busyUntil) {
    if (free) {
      faults.add(new Fault(at, what, one, 0, 0, ms));
      // A start takes its time, and one that has just started is left alone for a moment.
      busyUntil[one] = at + ms + 4000;
    }
  }

  /** Plays the day, and the same day with [fleet] off beside it if so planned. */
  public static ExperimentReport run(Plan plan, PrintStream out) throws Exception {
    MembershipExperiment day = new MembershipExperiment(plan);
    day.faults.forEach(out::println);
    ExperimentReport result =
        new ExperimentReport(plan.seed)
            .figure("gateways", plan.gateways)
            .figure("told", day.told)
            .figure("faults", day.faults.size());
    double served = day.play(true, result, out);
    if (plan.baseline) {
      double without =
          new MembershipExperiment(plan).play(false, new ExperimentReport(plan.seed), out);
      result.figure("served_without", rounded(without));
      if (day.told == plan.gateways) {
        result.bar("served within 0.02 of a day without", served >= without - APART);
      }
    }
    return result;
  }

  private static double rounded(double value) {
    return Math.round(value * 10_000) / 10_000.0;
  }

  private double play(boolean on, ExperimentReport result, PrintStream out) throws Exception {
    Path folder =
        Files.createDirectories(plan.folder.resolve((on ? "fleet-" : "without-") + plan.seed));
    clean(folder);
    try (ProcessTestbed made =
        new ProcessTestbed(
            new ProcessTestbed.Plan(plan.seed, plan.gateways, on ? told : 0, 40, folder))) {
      rig = made;
      rig.startAll();
      Thread.sleep(WARM_MS);
      long began = System.nanoTime();
      busy(began, on);
      long calm = System.nanoTime();
      for (long until = calm + SETTLED_MS * MS;
          System.nanoTime() < until && (healedMs < 0 || !on); ) {
        Thread.sleep(LOOK_MS);
        look(on);
        healedMs = on && healedMs < 0 && whole() ? (System.nanoTime() - calm) / MS : healedMs;
      }
      double served = rig.served(began, System.nanoTime());
      String views = on && healedMs < 0 ? views() : "";
      var ends = rig.settle();
      ends.forEach(result::figure);
      rig.auditor().figures().forEach(result::figure);
      result
          .figure("served", rounded(served))
          .figure("unjudged", rounded(rig.auditor().unjudged()));
      if (on) {
        result
            .figure("settled_after_ms", healedMs)
            .figure("heard_of_a_kill_p50_ms", heard.getValueAtPercentile(50))
            .figure("heard_of_a_kill_max_ms", heard.getMaxValue())
            .figure("kills_heard_of", heard.getTotalCount())
            .figure("datagrams", rig.links().carried())
            .figure("datagrams_dropped", rig.links().dropped())
            .figure("most_datagrams_in_a_second", rig.links().mostDatagrams())
            .figure("most_bytes_in_a_second", rig.links().mostBytes())
            .figure("most_parts", rounded(mostParts))
            .figure("looks", partsSeen)
            .figure("wrong", rig.auditor().wrongs())
            .bar(
                "every view is those that run within 10 s of the last fault"
                    + (views.isEmpty() ? "" : ": " + views),
                healedMs >= 0)
            .bar("no rule broken, nobody there called lost", rig.auditor().wrongs().isEmpty())
            .bar(
                "under the ceiling in every second",
                rig.links().mostDatagrams() <= MOST_DATAGRAMS
                    && rig.links().mostBytes() <= MOST_BYTES)
            .bar("parts sum to one at most", mostParts <= 1 + SLACK)
            .bar("no GET lost", ends.get("lost") == 0)
            .bar("one answer each", ends.get("twice") == 0)
            .bar("not void: four fifths judged", rig.auditor().unjudged() <= UNJUDGED)
            .bar("no failure in the logs", rig.severe() == 0);
      } else {
        out.println("without [fleet]: " + ends + ", wrong: " + rig.auditor().wrongs());
      }
      return served;
    }
  }

  private static void clean(Path folder) throws IOException {
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
  }

  // ---- The timetable, played.

  private void busy(long began, boolean on) throws Exception {
    List<Step> steps = new ArrayList<>();
    for (Fault fault : faults) {
      steps.add(new Step(fault.atMs, () -> begin(fault)));
      steps.add(new Step(fault.atMs + fault.ms, () -> finish(fault)));
    }
    long end = plan.seconds * 1000L;
    for (Fault fault : faults) {
      end = Math.max(end, fault.atMs + fault.ms);
    }
    for (long at = 0; at < end; at += NEWS_MS) {
      steps.add(new Step(at, () -> rig.news()));
    }
    for (long at = 0; at < end; at += LOOK_MS) {
      steps.add(new Step(at, () -> look(on)));
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    for (Step step : steps) {
      long wait = began / MS + step.atMs - System.nanoTime() / MS;
      if (wait > 0) {
        Thread.sleep(wait);
      }
      step.work.run();
    }
  }

  private void begin(Fault fault) throws Exception {
    lastFaultAt = Math.max(lastFaultAt, System.nanoTime() + fault.ms * MS);
    switch (fault.what) {
      case "kill" -> {
        rig.kill(fault.one);
        killedAt[fault.one % killedAt.length] = System.nanoTime();
      }
      case "term" -> rig.term(fault.one);
      case "stand" -> rig.stand(fault.one, fault.ms);
      case "partition" -> sides(fault.side, Way.CUT);
      case "lossy" -> rig.links(new Way(false, 0.3, 0.1, 300));
      default -> rig.link(fault.one, fault.other, Way.CUT);
    }
  }

  private void finish(Fault fault) throws Exception {
    switch (fault.what) {
      case "kill" -> {
        killedAt[fault.one % killedAt.length] = 0;
        rig.start(fault.one);
      }
      case "term" -> {
        rig.end(fault.one);
        rig.start(fault.one);
      }
      case "stand" -> {}
      default -> rig.links(Way.WELL);
    }
  }

  private void sides(long side, Way way) throws Exception {
    for (int from = 0; from < plan.gateways; from++) {
      for (int to = 0; to < plan.gateways; to++) {
        if ((side >> from & 1) != (side >> to & 1)) {
          rig.link(from, to, way);
        }
      }
    }
  }

  // ---- What is looked at.

  private final long[] killedAt = new long[64];

  /**
   * The parts of all views that are there, and who is called lost that runs and that no fault
   * touches.
   */
  private void look(boolean on) {
    if (!on) {
      return;
    }
    double parts = 0;
    long now = System.nanoTime();
    partsSeen++;
    for (ProcessTestbed.Place place : rig.places()) {
      JsonObject view = place.view();
      if (view == null || !place.runs()) {
        continue;
      }
      parts += view.getDouble("part");
      for (Object one : view.getJsonArray("gateways")) {
        JsonObject other = (JsonObject) one;
        ProcessTestbed.Place of =
            rig.places().get(Integer.parseInt(other.getString("name").substring(1)));
        if (other.getString("standing").equals(LOSS)
            && untouched(place, now)
            && untouched(of, now)) {
          rig.auditor().wrong(place.name() + " calls " + of.name() + " lost, which runs");
        }
      }
    }
    mostParts = Math.max(mostParts, parts);
    for (int one = 0; one < plan.gateways; one++) {
      if (killedAt[one] != 0 && allHeardOf(one)) {
        heard.recordValue(Math.min(HIGHEST_MS, (now - killedAt[one]) / MS));
        killedAt[one] = 0;
      }
    }
  }

  private boolean untouched(ProcessTestbed.Place place, long now) {
    return place.runs()
        && now - place.runsSince() > TOUCHED_MS * MS
        && now - lastFaultAt > TOUCHED_MS * MS;
  }

  private boolean allHeardOf(int gone) {
    return rig.places().stream()
        .filter(one -> one.view() != null && one.runs())
        .allMatch(
            one ->
                one.view().getJsonArray("gateways").stream()
                    .map(JsonObject.class::cast)
                    .noneMatch(
                        other ->
                            other.getString("name").equals("g" + gone)
                                && !other.getString("standing").equals(LOSS)
                                && !other.getString("standing").equals("left")));
  }

  private boolean whole() {
    return rig.places().stream().allMatch(this::isWhole);
  }

  private boolean isWhole(ProcessTestbed.Place place) {
    JsonObject view = place.view();
    return place.runs()
        && view != null
        && view.getString("phase").equals("settled")
        && there(view).size() == plan.gateways;
  }

  private static Set<String> there(JsonObject view) {
    return view.getJsonArray("gateways").stream()
        .map(JsonObject.class::cast)
        .filter(
            one ->
                one.getString("standing").equals("alive")
                    || one.getString("standing").equals("suspected"))
        .map(one -> one.getString("name"))
        .collect(
            Collectors.toCollection(
                () -> {
                  TreeSet<String> names = new TreeSet<>();
                  names.add(view.getString("name"));
                  return names;
                }));
  }

  private String views() {
    return rig.places().stream()
        .filter(one -> !isWhole(one))
        .map(
            one ->
                one.name()
                    + " "
                    + (one.view() == null
                        ? "no view"
                        : one.view().getString("phase") + " " + there(one.view())))
        .toList()
        .toString();
  }
}
