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
import org.amberpath.lab.registry.StandInRegistry.Way;
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
  private static final long MS = 1_000_000,
      WARM_MS = 7000,
      WRITE_MS = 100,
      LOOK_MS = 10,
      CALM_MS = 14_000;

  /**
   * A lease, and two seconds more: by then a task that lost its owner has one again, if voters are
   * there.
   */
  private static final long LEASE_MS = 3000,
      SETTLE_MS = 600,
      OWNED_AGAIN_MS = LEASE_MS + 2000 + SETTLE_MS;

  private static final int RATE = 20, CACHES = 8, LEAST_TO_CHANGE = 5;
  private static final String FIRST = "g0, g1, g2", LATER = "g2, g3, g4";
  private static final int ENDPOINTS = 3, MOST_LINES = 20, HOUR_MS = 3_600_000;
  private static final String PREFIX = "amberpath/lab/";
  private static final double UNJUDGED = 0.2;

  /** What is to be tried. */
  public record Plan(long seed, int gateways, int seconds, Path folder) {}

  private record Step(long atMs, String what, Work work) {}

  private interface Work {
    void run() throws Exception;
  }

  private final Plan plan;
  private final SplittableRandom chance;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final StandInRegistry registry = new StandInRegistry(vertx, new HttpServerOptions());
  private final List<Step> steps = new ArrayList<>();
  private final Map<Long, String> owners = new TreeMap<>();
  private final List<String> wrong = new ArrayList<>();
  private long term, written, purges, oldestMs, calmSince, ownerlessSince, longestOwnerless;

  /** When the owner was last told to end, until the next acts; and the longest of such times. */
  private long endedAt, longestHeir, callsAtHung;

  private String common;
  private byte[] fence = new byte[0];
  private ProcessTestbed rig;

  private LeadershipExperiment(Plan plan) {
    this.plan = plan;
    chance = new SplittableRandom(plan.seed());
  }

  /** Plays a timetable from the seed. */
  public static ExperimentReport run(Plan plan, PrintStream out) throws Exception {
    return new LeadershipExperiment(plan).play(out);
  }

  private <T> T on(Callable<T> what) throws Exception {
    return EventLoopWaiter.on(vertx, what);
  }

  private ExperimentReport play(PrintStream out) throws Exception {
    ExperimentReport result = new ExperimentReport(plan.seed()).figure("gateways", plan.gateways());
    List<String> endpoints = new ArrayList<>();
    for (int one = 0; one < ENDPOINTS; one++) {
      endpoints.add("127.0.0.1:" + EventLoopWaiter.await(on(() -> registry.open(0))).port());
    }
    common =
        "[registry]\nform = etcd\nendpoints = "
            + String.join(", ", endpoints)
            + "\nprefix = "
            + PREFIX
            + "\njournal = beside\n[owner]\nlease-s = "
            + LEASE_MS / 1000
            + "\nsettle-s = "
            + SETTLE_MS / 1000.0
            + "\nsweep = yes\nsweep-every-s = 0.2\nprobe = yes\nwarm = yes\n";
    // On one day of three the registry's leases say who owns what.
    boolean leases = plan.seed() % 3 == 0;
    String more = common + (leases ? "by = lease\n" : "voters = " + FIRST + "\n");
    Path folder = Files.createDirectories(plan.folder().resolve("owner-" + plan.seed()));
    try (ProcessTestbed made =
        new ProcessTestbed(
            new ProcessTestbed.Plan(
                plan.seed(), plan.gateways(), plan.gateways(), RATE, folder, more))) {
      rig = made;
      rig.startAll();
      on(() -> vertx.setPeriodic(WRITE_MS, tick -> purge()));
      on(() -> vertx.setPeriodic(LOOK_MS, tick -> look()));
      Thread.sleep(WARM_MS);
      draw(out, !leases && plan.gateways() >= LEAST_TO_CHANGE);
      long began = System.nanoTime();
      for (Step step : steps) {
        long wait = began / MS + step.atMs - System.nanoTime() / MS;
        if (wait > 0) {
          Thread.sleep(wait);
        }
        step.work.run();
      }
      on(() -> calmSince = System.nanoTime());
      Thread.sleep(CALM_MS);
      Map<String, Long> holders = new TreeMap<>(), done = new TreeMap<>();
      for (int one = 0; one < plan.gateways(); one++) {
        for (Object each : rig.page(one, "/owner").getJsonArray("tasks")) {
          JsonObject task = (JsonObject) each;
          holders.merge(task.getString("task"), task.getBoolean("holds") ? 1L : 0L, Long::sum);
          done.merge(task.getString("task"), task.getLong("done"), Long::sum);
        }
      }
      long left = on(() -> oldestMs);
      Map<String, Long> ends = rig.settle();
      ends.forEach(result::figure);
      rig.auditor().figures().forEach(result::figure);
      result
          .figure("faults", steps.size() / 2)
          .figure("owners", owners.size())
          .figure("terms_that_acted", written)
          .figure("by", leases ? "lease" : "votes")
          .figure("done", new JsonObject(new LinkedHashMap<>(done)))
          .figure("calls_at_hung_caches", callsAtHung)
          .figure("longest_until_heir_acts_ms", longestHeir / MS)
          .figure("purges", purges)
          .figure("longest_unswept_in_calm_ms", longestOwnerless / MS)
          .figure("unjudged", rig.auditor().unjudged())
          .figure("wrong", wrong)
          .figure("wrong_by_rules", rig.auditor().wrongs())
          .bar("terms never fall, one term is one owner's", wrong.isEmpty())
          .bar(
              "one owner of each task in the end",
              holders.values().stream().allMatch(one -> one == 1))
          .bar(
              "owned again within a lease and 2 s, once calm",
              longestOwnerless / MS <= OWNED_AGAIN_MS && left < 3000)
          .bar("rules kept", rig.auditor().wrongs().isEmpty())
          .bar("no GET lost", ends.get("lost") == 0)
          .bar("one answer each", ends.get("twice") == 0)
          .bar("not void: four fifths judged", rig.auditor().unjudged() <= UNJUDGED)
          .bar("no failure in the logs", rig.severe() == 0);
    } finally {
      EventLoopWaiter.await(vertx.close());
    }
    return result;
  }

  // ---- The registry: what is written there, and what is seen.

  /**
   * A purge that is old by any clock within an hour of this one, of an object that nobody asks for.
   */
  private void purge() {
    Map<String, byte[]> both = new TreeMap<>();
    both.put(
        PREFIX + RecordCodec.PURGES_PREFIX + ++purges,
        RecordCodec.encode(
            new RegistryRecord.Purge(
                0xf000_0000L + purges, 0, System.currentTimeMillis() - 3L * HOUR_MS)));
    both.put(
        PREFIX + RecordCodec.TIP_KEY, Long.toString(purges).getBytes(StandardCharsets.US_ASCII));
    registry.write(both);
    writtenAt.put(PREFIX + RecordCodec.PURGES_PREFIX + purges, System.nanoTime());
  }

  /** Of each purge that is still there, when it was written: bounded by the purges of one day. */
  private final Map<String, Long> writtenAt = new HashMap<>();

  private void wrong(String what) {
    if (wrong.size() < MOST_LINES) {
      wrong.add(what);
    }
  }

  private void look() {
    Map<String, byte[]> now = registry.now();
    writtenAt.keySet().removeIf(key -> !now.containsKey(key));
    long oldest = writtenAt.values().stream().mapToLong(at -> at).min().orElse(System.nanoTime());
    oldestMs = (System.nanoTime() - oldest) / MS;
    byte[] value = now.getOrDefault(PREFIX + RecordCodec.TASKS_PREFIX + "sweep", fence);
    if (!Arrays.equals(value, fence)) {
      fence = value;
      written++;
      JsonObject task = new JsonObject(new String(value, StandardCharsets.UTF_8));
      long seen = task.getLong("term");
      String by = task.getString("by"), before = owners.putIfAbsent(seen, by);
      if (seen < term) {
        wrong("term " + seen + " of " + by + " after " + term);
      }
      if (before != null && !before.equals(by)) {
        wrong("term " + seen + " is " + before + "'s and " + by + "'s");
      }
      if (seen > term && endedAt > 0) {
        longestHeir = Math.max(longestHeir, System.nanoTime() - endedAt);
        endedAt = 0;
      }
      term = Math.max(term, seen);
    }
    // Only once calm: without a majority, or with the registry away, nobody may sweep.
    if (calmSince > 0 && oldestMs > 1000) {
      ownerlessSince = ownerlessSince == 0 ? System.nanoTime() : ownerlessSince;
      longestOwnerless =
          Math.max(longestOwnerless, System.nanoTime() - Math.max(calmSince, ownerlessSince));
    } else {
      ownerlessSince = 0;
    }
  }

  // ---- The timetable.

  /**
   * Faults follow the owner of the moment in half of all cases: it is looked for when the fault
   * begins.
   */
  private int target(int drawn, boolean owner) {
    String by = owners.getOrDefault(term, "");
    return owner && !by.isEmpty() ? Integer.parseInt(by.substring(1)) : drawn;
  }

  private void draw(PrintStream out, boolean change) {
    if (change) {
      long half = plan.seconds() * 500L;
      steps.add(
          new Step(
              half,
              "voters: " + FIRST + ", next " + LATER,
              () ->
                  rig.settings(common + "voters = " + FIRST + "\nnext-voters = " + LATER + "\n")));
      steps.add(
          new Step(
              half + 2 * LEASE_MS,
              "voters: " + LATER,
              () -> rig.settings(common + "voters = " + LATER + "\n")));
    }
    long at = 500;
    while (at < plan.seconds() * 1000L) {
      int drawn = chance.nextInt(plan.gateways()), other = chance.nextInt(plan.gateways());
      boolean owner = chance.nextBoolean();
      long ms = chance.nextLong(500, 7000);
      int[] which = new int[1];
      String whom = owner ? "the owner" : "g" + drawn;
      switch (chance.nextInt(8)) {
        case 0 ->
            add(
                at,
                ms,
                "kill " + whom,
                () -> {
                  which[0] = target(drawn, owner);
                  rig.kill(which[0]);
                },
                () -> rig.start(which[0]));
        case 1 -> add(at, ms, "stand " + whom, () -> rig.stand(target(drawn, owner), ms), () -> {});
        case 2 ->
            add(
                at,
                Math.max(ms, 3000),
                "term " + whom,
                () -> {
                  which[0] = target(drawn, owner);
                  on(
                      () ->
                          endedAt =
                              owners.getOrDefault(term, "").equals("g" + which[0])
                                  ? System.nanoTime()
                                  : 0);
                  rig.term(which[0]);
                },
                () -> {
                  rig.end(which[0]);
                  rig.start(which[0]);
                });
        case 3 ->
            add(
                at,
                ms,
                "cut off " + whom,
                () -> {
                  int one = target(drawn, owner);
                  for (int each = 0; each < plan.gateways(); each++) {
                    rig.link(one, each, NetworkLinks.Way.CUT);
                    if (each % 2 == 0 || chance.nextBoolean()) {
                      rig.link(each, one, NetworkLinks.Way.CUT);
                    }
                  }
                },
                () -> rig.links(NetworkLinks.Way.WELL));
        case 4 ->
            add(
                at,
                ms,
                "lossy, late by up to 3 s",
                () -> rig.links(new NetworkLinks.Way(false, 0.2, 0.1, 3000)),
                () -> rig.links(NetworkLinks.Way.WELL));
        case 5, 6 -> {
          String cache = "e" + chance.nextInt(CACHES);
          long[] before = new long[1];
          add(
              at,
              ms,
              cache + " hangs",
              () -> {
                rig.hang(cache, true);
                before[0] = rig.wants(cache);
              },
              () -> {
                callsAtHung += rig.wants(cache) - before[0];
                rig.hang(cache, false);
              });
          if (chance.nextBoolean()) {
            steps.add(new Step(at + ms / 2, "news of caches", rig::news));
          }
        }
        default ->
            add(
                at,
                ms,
                "endpoint " + other % ENDPOINTS + " silent",
                () -> become(other % ENDPOINTS, Way.SILENT),
                () -> become(other % ENDPOINTS, Way.ANSWERS));
      }
      // One fault of a process at a time: most voters stay.
      at += ms + chance.nextLong(500, 4000);
    }
    steps.sort(Comparator.comparingLong(Step::atMs));
    steps.forEach(step -> out.printf(Locale.ROOT, "%6d ms  %s%n", step.atMs, step.what));
  }

  private void become(int endpoint, Way way) throws Exception {
    on(
        () -> {
          Endpoint one = registry.endpoints().get(endpoint);
          one.become(way);
          return null;
        });
  }

  private void add(long at, long ms, String what, Work begin, Work end) {
    steps.add(new Step(at, what + " for " + ms + " ms", begin));
    steps.add(new Step(at + ms, what + ": over", end));
  }
}
