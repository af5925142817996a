package org.amberpath.lab.leadership;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.amberpath.lab.EventLoopWaiter;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.registry.StandInRegistry;
import org.amberpath.lab.registry.StandInRegistry.Endpoint;
import org.amberpath.lab.registry.StandInRegistry.EndpointBehavior;
import org.amberpath.lab.testbed.NetworkLinks;
import org.amberpath.lab.testbed.ProcessTestbed;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.runtime.RecordCodec;

/**
 * Real gateways of which one at a time sweeps old purges out of a registry, while owners are
 * killed, stopped, ended, cut off one way and both, votes are lost and late, and endpoints of the
 * registry are away. The registry's own history judges: terms of the task's fence never fall, one
 * term is one owner's, and what is old goes.
 */
@SuppressWarnings("try") // Closing waits; an interrupt ends the experiment.
public final class LeadershipExperiment {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long WARM_UP_MILLIS = 7000;
  private static final long PURGE_INTERVAL_MILLIS = 100;
  private static final long OBSERVE_MILLIS = 10;
  private static final long CALM_MILLIS = 14_000;

  /**
   * A lease, and two seconds more: by then a task that lost its owner has one again, if voters are
   * there.
   */
  private static final long LEASE_MILLIS = 3000;

  private static final long SETTLE_MILLIS = 600;
  private static final long MAX_VACANCY_MILLIS = LEASE_MILLIS + 2000 + SETTLE_MILLIS;

  private static final int REQUESTS_PER_SECOND = 20;
  private static final int EDGE_CACHES = 8;
  private static final int MIN_GATEWAYS_TO_CHANGE_VOTERS = 5;
  private static final String FIRST_VOTERS = "g0, g1, g2";
  private static final String LATER_VOTERS = "g2, g3, g4";
  private static final int ENDPOINTS = 3;
  private static final int MAX_VIOLATIONS = 20;
  private static final int MILLIS_PER_HOUR = 3_600_000;
  private static final String PREFIX = "amberpath/lab/";
  private static final double MAX_UNJUDGED_SHARE = 0.2;

  /** What is to be tried. */
  public record Plan(long seed, int gateways, int seconds, Path folder) {}

  private record Step(long atMillis, String description, Action action) {}

  private interface Action {
    void run() throws Exception;
  }

  private final Plan plan;
  private final SplittableRandom random;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());
  private final List<Step> steps = new ArrayList<>();
  private final Map<Long, String> leadersByTerm = new TreeMap<>();
  private final List<String> violations = new ArrayList<>();
  private long highestTerm;
  private long termsThatActed;
  private long purgeCount;
  private long oldestPurgeMillis;
  private long calmSinceNanos;
  private long vacantSinceNanos;
  private long longestVacancyNanos;

  /** When the owner was last told to end, until the next acts; and the longest of such times. */
  private long leaderEndedNanos;

  private long longestSuccessionNanos;
  private long callsToHungCaches;

  private String commonSections;
  private byte[] lastFence = new byte[0];
  private ProcessTestbed testbed;

  private LeadershipExperiment(Plan plan) {
    this.plan = plan;
    random = new SplittableRandom(plan.seed());
  }

  /** Plays a timetable from the seed. */
  public static ExperimentReport run(Plan plan, PrintStream out) throws Exception {
    return new LeadershipExperiment(plan).run(out);
  }

  private <T> T callOnLoop(Callable<T> callable) throws Exception {
    return EventLoopWaiter.callOnLoop(vertx, callable);
  }

  private ExperimentReport run(PrintStream out) throws Exception {
    ExperimentReport result = new ExperimentReport(plan.seed()).figure("gateways", plan.gateways());
    List<String> endpoints = new ArrayList<>();
    for (int gateway = 0; gateway < ENDPOINTS; gateway++) {
      endpoints.add(
          "127.0.0.1:" + EventLoopWaiter.await(callOnLoop(() -> registry.open(0))).port());
    }
    commonSections =
        "[registry]\nform = etcd\nendpoints = "
            + String.join(", ", endpoints)
            + "\nprefix = "
            + PREFIX
            + "\njournal = beside\n[owner]\nlease-s = "
            + LEASE_MILLIS / 1000
            + "\nsettle-s = "
            + SETTLE_MILLIS / 1000.0
            + "\nsweep = yes\nsweep-every-s = 0.2\nprobe = yes\nwarm = yes\n";
    // On one day of three the registry's leases say who owns what.
    boolean byLease = plan.seed() % 3 == 0;
    String sections =
        commonSections + (byLease ? "by = lease\n" : "voters = " + FIRST_VOTERS + "\n");
    Path folder = Files.createDirectories(plan.folder().resolve("owner-" + plan.seed()));
    try (ProcessTestbed opened =
        new ProcessTestbed(
            new ProcessTestbed.Plan(
                plan.seed(),
                plan.gateways(),
                plan.gateways(),
                REQUESTS_PER_SECOND,
                folder,
                sections))) {
      testbed = opened;
      testbed.startAll();
      callOnLoop(() -> vertx.setPeriodic(PURGE_INTERVAL_MILLIS, tick -> writePurge()));
      callOnLoop(() -> vertx.setPeriodic(OBSERVE_MILLIS, tick -> observe()));
      Thread.sleep(WARM_UP_MILLIS);
      drawTimetable(out, !byLease && plan.gateways() >= MIN_GATEWAYS_TO_CHANGE_VOTERS);
      long beganNanos = System.nanoTime();
      for (Step step : steps) {
        long waitMillis =
            beganNanos / NANOS_PER_MILLI + step.atMillis - System.nanoTime() / NANOS_PER_MILLI;
        if (waitMillis > 0) {
          Thread.sleep(waitMillis);
        }
        step.action.run();
      }
      callOnLoop(() -> calmSinceNanos = System.nanoTime());
      Thread.sleep(CALM_MILLIS);
      Map<String, Long> leadersByTask = new TreeMap<>();
      Map<String, Long> doneByTask = new TreeMap<>();
      for (int gateway = 0; gateway < plan.gateways(); gateway++) {
        for (Object entry : testbed.adminPage(gateway, "/owner").getJsonArray("tasks")) {
          JsonObject task = (JsonObject) entry;
          leadersByTask.merge(
              task.getString("task"), task.getBoolean("holds") ? 1L : 0L, Long::sum);
          doneByTask.merge(task.getString("task"), task.getLong("done"), Long::sum);
        }
      }
      long oldestLeftMillis = callOnLoop(() -> oldestPurgeMillis);
      Map<String, Long> outcomes = testbed.settle();
      outcomes.forEach(result::figure);
      testbed.auditor().figures().forEach(result::figure);
      result
          .figure("faults", steps.size() / 2)
          .figure("owners", leadersByTerm.size())
          .figure("terms_that_acted", termsThatActed)
          .figure("by", byLease ? "lease" : "votes")
          .figure("done", new JsonObject(new LinkedHashMap<>(doneByTask)))
          .figure("calls_at_hung_caches", callsToHungCaches)
          .figure("longest_until_heir_acts_ms", longestSuccessionNanos / NANOS_PER_MILLI)
          .figure("purges", purgeCount)
          .figure("longest_unswept_in_calm_ms", longestVacancyNanos / NANOS_PER_MILLI)
          .figure("unjudged", testbed.auditor().unjudgedShare())
          .figure("wrong", violations)
          .figure("wrong_by_rules", testbed.auditor().violations())
          .bar("terms never fall, one term is one owner's", violations.isEmpty())
          .bar(
              "one owner of each task in the end",
              leadersByTask.values().stream().allMatch(gateway -> gateway == 1))
          .bar(
              "owned again within a lease and 2 s, once calm",
              longestVacancyNanos / NANOS_PER_MILLI <= MAX_VACANCY_MILLIS
                  && oldestLeftMillis < 3000)
          .bar("rules kept", testbed.auditor().violations().isEmpty())
          .bar("no GET lost", outcomes.get("lost") == 0)
          .bar("one answer each", outcomes.get("twice") == 0)
          .bar(
              "not void: four fifths judged",
              testbed.auditor().unjudgedShare() <= MAX_UNJUDGED_SHARE)
          .bar("no failure in the logs", testbed.severeLines() == 0);
    } finally {
      EventLoopWaiter.await(vertx.close());
    }
    return result;
  }

  // ---- The registry: what is written there, and what is seen.

  /**
   * A purge that is old by any clock within an hour of this one, of an object that nobody asks for.
   */
  private void writePurge() {
    Map<String, byte[]> transaction = new TreeMap<>();
    transaction.put(
        PREFIX + RecordCodec.PURGES_PREFIX + ++purgeCount,
        RecordCodec.encode(
            new RegistryRecord.Purge(
                0xf000_0000L + purgeCount, 0, System.currentTimeMillis() - 3L * MILLIS_PER_HOUR)));
    transaction.put(
        PREFIX + RecordCodec.TIP_KEY,
        Long.toString(purgeCount).getBytes(StandardCharsets.US_ASCII));
    registry.write(transaction);
    writtenAtNanos.put(PREFIX + RecordCodec.PURGES_PREFIX + purgeCount, System.nanoTime());
  }

  /** Of each purge that is still there, when it was written: bounded by the purges of one day. */
  private final Map<String, Long> writtenAtNanos = new HashMap<>();

  private void violation(String message) {
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(message);
    }
  }

  private void observe() {
    Map<String, byte[]> keys = registry.entries();
    writtenAtNanos.keySet().removeIf(key -> !keys.containsKey(key));
    long oldestNanos =
        writtenAtNanos.values().stream()
            .mapToLong(atMillis -> atMillis)
            .min()
            .orElse(System.nanoTime());
    oldestPurgeMillis = (System.nanoTime() - oldestNanos) / NANOS_PER_MILLI;
    byte[] fenceValue = keys.getOrDefault(PREFIX + RecordCodec.TASKS_PREFIX + "sweep", lastFence);
    if (!Arrays.equals(fenceValue, lastFence)) {
      lastFence = fenceValue;
      termsThatActed++;
      JsonObject task = new JsonObject(new String(fenceValue, StandardCharsets.UTF_8));
      long seenTerm = task.getLong("term");
      String leader = task.getString("by");
      String previous = leadersByTerm.putIfAbsent(seenTerm, leader);
      if (seenTerm < highestTerm) {
        violation("term " + seenTerm + " of " + leader + " after " + highestTerm);
      }
      if (previous != null && !previous.equals(leader)) {
        violation("term " + seenTerm + " is " + previous + "'s and " + leader + "'s");
      }
      if (seenTerm > highestTerm && leaderEndedNanos > 0) {
        longestSuccessionNanos =
            Math.max(longestSuccessionNanos, System.nanoTime() - leaderEndedNanos);
        leaderEndedNanos = 0;
      }
      highestTerm = Math.max(highestTerm, seenTerm);
    }
    // Only once calm: without a majority, or with the registry away, nobody may sweep.
    if (calmSinceNanos > 0 && oldestPurgeMillis > 1000) {
      vacantSinceNanos = vacantSinceNanos == 0 ? System.nanoTime() : vacantSinceNanos;
      longestVacancyNanos =
          Math.max(
              longestVacancyNanos, System.nanoTime() - Math.max(calmSinceNanos, vacantSinceNanos));
    } else {
      vacantSinceNanos = 0;
    }
  }

  // ---- The timetable.

  /**
   * Faults follow the owner of the moment in half of all cases: it is looked for when the fault
   * begins.
   */
  private int targetGateway(int drawnGateway, boolean followLeader) {
    String leader = leadersByTerm.getOrDefault(highestTerm, "");
    return followLeader && !leader.isEmpty() ? Integer.parseInt(leader.substring(1)) : drawnGateway;
  }

  private void drawTimetable(PrintStream out, boolean changeVoters) {
    if (changeVoters) {
      long halfMillis = plan.seconds() * 500L;
      steps.add(
          new Step(
              halfMillis,
              "voters: " + FIRST_VOTERS + ", next " + LATER_VOTERS,
              () ->
                  testbed.reloadAll(
                      commonSections
                          + "voters = "
                          + FIRST_VOTERS
                          + "\nnext-voters = "
                          + LATER_VOTERS
                          + "\n")));
      steps.add(
          new Step(
              halfMillis + 2 * LEASE_MILLIS,
              "voters: " + LATER_VOTERS,
              () -> testbed.reloadAll(commonSections + "voters = " + LATER_VOTERS + "\n")));
    }
    long atMillis = 500;
    while (atMillis < plan.seconds() * 1000L) {
      int drawnGateway = random.nextInt(plan.gateways());
      int other = random.nextInt(plan.gateways());
      boolean followLeader = random.nextBoolean();
      long durationMillis = random.nextLong(500, 7000);
      int[] affected = new int[1];
      String targetName = followLeader ? "the owner" : "g" + drawnGateway;
      switch (random.nextInt(8)) {
        case 0 ->
            addFault(
                atMillis,
                durationMillis,
                "kill " + targetName,
                () -> {
                  affected[0] = targetGateway(drawnGateway, followLeader);
                  testbed.kill(affected[0]);
                },
                () -> testbed.start(affected[0]));
        case 1 ->
            addFault(
                atMillis,
                durationMillis,
                "stand " + targetName,
                () -> testbed.pause(targetGateway(drawnGateway, followLeader), durationMillis),
                () -> {});
        case 2 ->
            addFault(
                atMillis,
                Math.max(durationMillis, 3000),
                "term " + targetName,
                () -> {
                  affected[0] = targetGateway(drawnGateway, followLeader);
                  callOnLoop(
                      () ->
                          leaderEndedNanos =
                              leadersByTerm.getOrDefault(highestTerm, "").equals("g" + affected[0])
                                  ? System.nanoTime()
                                  : 0);
                  testbed.terminate(affected[0]);
                },
                () -> {
                  testbed.awaitExit(affected[0]);
                  testbed.start(affected[0]);
                });
        case 3 ->
            addFault(
                atMillis,
                durationMillis,
                "cut off " + targetName,
                () -> {
                  int gateway = targetGateway(drawnGateway, followLeader);
                  for (int entry = 0; entry < plan.gateways(); entry++) {
                    testbed.setLink(gateway, entry, NetworkLinks.LinkCondition.CUT);
                    if (entry % 2 == 0 || random.nextBoolean()) {
                      testbed.setLink(entry, gateway, NetworkLinks.LinkCondition.CUT);
                    }
                  }
                },
                () -> testbed.setAllLinks(NetworkLinks.LinkCondition.HEALTHY));
        case 4 ->
            addFault(
                atMillis,
                durationMillis,
                "lossy, late by up to 3 s",
                () -> testbed.setAllLinks(new NetworkLinks.LinkCondition(false, 0.2, 0.1, 3000)),
                () -> testbed.setAllLinks(NetworkLinks.LinkCondition.HEALTHY));
        case 5, 6 -> {
          String cache = "e" + random.nextInt(EDGE_CACHES);
          long[] previous = new long[1];
          addFault(
              atMillis,
              durationMillis,
              cache + " hangs",
              () -> {
                testbed.setCacheHung(cache, true);
                previous[0] = testbed.cacheRequestCount(cache);
              },
              () -> {
                callsToHungCaches += testbed.cacheRequestCount(cache) - previous[0];
                testbed.setCacheHung(cache, false);
              });
          if (random.nextBoolean()) {
            steps.add(
                new Step(
                    atMillis + durationMillis / 2, "news of caches", testbed::changeDiscovery));
          }
        }
        default ->
            addFault(
                atMillis,
                durationMillis,
                "endpoint " + other % ENDPOINTS + " silent",
                () -> setEndpointBehavior(other % ENDPOINTS, EndpointBehavior.SILENT),
                () -> setEndpointBehavior(other % ENDPOINTS, EndpointBehavior.ANSWERS));
      }
      // One fault of a process at a time: most voters stay.
      atMillis += durationMillis + random.nextLong(500, 4000);
    }
    steps.sort(Comparator.comparingLong(Step::atMillis));
    steps.forEach(step -> out.printf(Locale.ROOT, "%6d ms  %s%n", step.atMillis, step.description));
  }

  private void setEndpointBehavior(int endpointIndex, EndpointBehavior behavior) throws Exception {
    callOnLoop(
        () -> {
          Endpoint gateway = registry.endpoints().get(endpointIndex);
          gateway.setBehavior(behavior);
          return null;
        });
  }

  private void addFault(
      long atMillis, long durationMillis, String description, Action begin, Action end) {
    steps.add(new Step(atMillis, description + " for " + durationMillis + " ms", begin));
    steps.add(new Step(atMillis + durationMillis, description + ": over", end));
  }
}
