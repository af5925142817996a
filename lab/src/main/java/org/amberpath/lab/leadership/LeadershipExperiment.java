package org.amberpath.lab.leadership;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.amberpath.lab.EventLoopWaiter;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.registry.StandInRegistry;
import org.amberpath.lab.testbed.ProcessTestbed;
import org.amberpath.lab.testbed.Timetable;

/**
 * Fault-injection experiment with real gateway processes that elect a leader to delete expired
 * purges from a registry. Gateways are killed, paused, terminated and cut off in one or both
 * directions, messages are lost and delayed, caches hang, and registry endpoints stop answering.
 * {@link PurgeFenceObserver} checks the fence that leaders write to the registry.
 */
@SuppressWarnings("try") // Closing the testbed blocks; an interrupt ends the experiment.
public final class LeadershipExperiment {
  private static final String PREFIX = "amberpath/lab/";
  private static final String FIRST_VOTERS = "g0, g1, g2";
  private static final String LATER_VOTERS = "g2, g3, g4";
  private static final int MIN_GATEWAYS_TO_CHANGE_VOTERS = 5;
  private static final int ENDPOINTS = 3;
  private static final int REQUESTS_PER_SECOND = 20;
  private static final int ELECTED_BY_LEASE_ONE_IN = 3;
  private static final long WARM_UP_MILLIS = 7000;
  private static final long PURGE_INTERVAL_MILLIS = 100;
  private static final long OBSERVATION_INTERVAL_MILLIS = 10;
  private static final long FAULT_FREE_MILLIS = 14_000;
  private static final long LEASE_MILLIS = 3000;
  private static final long SETTLE_MILLIS = 600;

  /**
   * Longest time that a task may be without a leader once faults have ended: a lease, two seconds
   * and the settle time. Assumes that a majority of voters can be reached.
   */
  private static final long MAX_VACANCY_MILLIS = LEASE_MILLIS + 2000 + SETTLE_MILLIS;

  private static final long MAX_OLDEST_PURGE_MILLIS = 3000;
  private static final double MAX_UNJUDGED_SHARE = 0.2;

  /**
   * Parameters of an experiment.
   *
   * @param seed the seed of the timetable of faults; seeds divisible by 3 elect by the registry's
   *     leases
   * @param gateways the number of gateway processes
   * @param seconds the length of the period in which faults begin
   * @param folder the directory in which the files of a run are created
   */
  public record Plan(long seed, int gateways, int seconds, Path folder) {}

  /**
   * What all gateways report of each task at the end of a run.
   *
   * @param leaderCounts by task name, the number of gateways that report that they lead the task
   * @param workCounts by task name, the sum of the gateways' work counters
   */
  private record TaskStates(Map<String, Long> leaderCounts, Map<String, Long> workCounts) {}

  private final Plan plan;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());
  private final PurgeFenceObserver observer = new PurgeFenceObserver(registry, PREFIX);

  /**
   * Whether leaders are elected by the registry's leases, as in one run of three; otherwise by
   * votes.
   */
  private final boolean electedByLease;

  private LeadershipExperiment(Plan plan) {
    this.plan = plan;
    electedByLease = plan.seed() % ELECTED_BY_LEASE_ONE_IN == 0;
  }

  /** Draws a timetable of faults from the seed, runs it, and reports the figures and bars. */
  public static ExperimentReport run(Plan plan, PrintStream out) throws Exception {
    return new LeadershipExperiment(plan).run(out);
  }

  private ExperimentReport run(PrintStream out) throws Exception {
    ExperimentReport result = new ExperimentReport(plan.seed()).figure("gateways", plan.gateways());
    String sections = commonSections();
    String ownSections =
        sections + (electedByLease ? "by = lease\n" : "voters = " + FIRST_VOTERS + "\n");
    Path folder = Files.createDirectories(plan.folder().resolve("owner-" + plan.seed()));
    try (ProcessTestbed testbed =
        new ProcessTestbed(
            new ProcessTestbed.Plan(
                plan.seed(),
                plan.gateways(),
                plan.gateways(),
                REQUESTS_PER_SECOND,
                folder,
                ownSections))) {
      testbed.startAll();
      EventLoopWaiter.runOnLoop(
          vertx,
          () -> {
            vertx.setPeriodic(PURGE_INTERVAL_MILLIS, tick -> observer.writePurge());
            vertx.setPeriodic(OBSERVATION_INTERVAL_MILLIS, tick -> observer.observe());
          });
      Thread.sleep(WARM_UP_MILLIS);
      LeadershipTimetable faults =
          new LeadershipTimetable(
              new SplittableRandom(plan.seed()), testbed, vertx, registry, observer);
      if (!electedByLease && plan.gateways() >= MIN_GATEWAYS_TO_CHANGE_VOTERS) {
        addVoterChange(faults.timetable(), testbed, sections);
      }
      faults.drawFaults(plan.seconds());
      faults.timetable().print(out);
      faults.timetable().run(System.nanoTime());
      EventLoopWaiter.runOnLoop(vertx, observer::faultsEnded);
      Thread.sleep(FAULT_FREE_MILLIS);
      report(testbed, faults, result);
    } finally {
      EventLoopWaiter.await(vertx.close());
    }
    return result;
  }

  private String commonSections() throws Exception {
    List<String> endpoints = new ArrayList<>();
    for (int index = 0; index < ENDPOINTS; index++) {
      int port =
          EventLoopWaiter.await(EventLoopWaiter.callOnLoop(vertx, () -> registry.open(0))).port();
      endpoints.add("127.0.0.1:" + port);
    }
    return "[registry]\nform = etcd\nendpoints = "
        + String.join(", ", endpoints)
        + "\nprefix = "
        + PREFIX
        + "\njournal = beside\n[owner]\nlease-s = "
        + LEASE_MILLIS / 1000
        + "\nsettle-s = "
        + SETTLE_MILLIS / 1000.0
        + "\nsweep = yes\nsweep-every-s = 0.2\nprobe = yes\nwarm = yes\n";
  }

  private void addVoterChange(Timetable timetable, ProcessTestbed testbed, String sections) {
    String joint = "voters = " + FIRST_VOTERS + "\nnext-voters = " + LATER_VOTERS + "\n";
    String later = "voters = " + LATER_VOTERS + "\n";
    long halfMillis = plan.seconds() * 500L;
    timetable.add(
        halfMillis,
        "voters: " + FIRST_VOTERS + ", next " + LATER_VOTERS,
        () -> testbed.reloadAll(sections + joint));
    timetable.add(
        halfMillis + 2 * LEASE_MILLIS,
        "voters: " + LATER_VOTERS,
        () -> testbed.reloadAll(sections + later));
  }

  private TaskStates taskStates(ProcessTestbed testbed) throws Exception {
    TaskStates states = new TaskStates(new TreeMap<>(), new TreeMap<>());
    for (int gateway = 0; gateway < plan.gateways(); gateway++) {
      for (Object each : testbed.adminPage(gateway, "/owner").getJsonArray("tasks")) {
        JsonObject task = (JsonObject) each;
        String name = task.getString("task");
        states.leaderCounts.merge(name, task.getBoolean("holds") ? 1L : 0L, Long::sum);
        states.workCounts.merge(name, task.getLong("done"), Long::sum);
      }
    }
    return states;
  }

  private void report(ProcessTestbed testbed, LeadershipTimetable faults, ExperimentReport result)
      throws Exception {
    TaskStates states = taskStates(testbed);
    long oldestPurgeMillis = EventLoopWaiter.callOnLoop(vertx, observer::oldestPurgeMillis);
    Map<String, Long> outcomes = testbed.stopClientsAndCountOutcomes();
    outcomes.forEach(result::figure);
    testbed.auditor().figures().forEach(result::figure);
    result
        .figure("faults", faults.timetable().size() / 2)
        .figure("owners", observer.leaderTerms())
        .figure("terms_that_acted", observer.termsThatActed())
        .figure("by", electedByLease ? "lease" : "votes")
        .figure("done", new JsonObject(new LinkedHashMap<>(states.workCounts)))
        .figure("calls_at_hung_caches", faults.callsToHungCaches())
        .figure("longest_until_heir_acts_ms", observer.longestSuccessionMillis())
        .figure("purges", observer.purgeCount())
        .figure("longest_unswept_in_calm_ms", observer.longestVacancyMillis())
        .figure("unjudged", testbed.auditor().unjudgedShare())
        .figure("wrong", observer.violations())
        .figure("wrong_by_rules", testbed.auditor().violations())
        .bar("terms never decrease, and each term has one leader", observer.violations().isEmpty())
        .bar(
            "each task has exactly one leader at the end",
            states.leaderCounts.values().stream().allMatch(count -> count == 1))
        .bar(
            "a leader deletes purges within a lease, 2 s and the settle time after the faults",
            observer.longestVacancyMillis() <= MAX_VACANCY_MILLIS
                && oldestPurgeMillis < MAX_OLDEST_PURGE_MILLIS)
        .bar("no request rule violated", testbed.auditor().violations().isEmpty())
        .bar("no GET lost", outcomes.get("lost") == 0)
        .bar("no request answered twice", outcomes.get("twice") == 0)
        .bar(
            "at least four fifths of the answers judged",
            testbed.auditor().unjudgedShare() <= MAX_UNJUDGED_SHARE)
        .bar("no SEVERE line in the logs", testbed.severeLines() == 0);
  }
}
