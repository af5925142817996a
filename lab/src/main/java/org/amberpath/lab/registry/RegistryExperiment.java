package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.LoadGenerator;
import org.amberpath.lab.LoopbackTestbed;
import org.amberpath.lab.StandInCache;
import org.amberpath.lab.registry.StandInRegistry.Endpoint;
import org.amberpath.lab.registry.StandInRegistry.Way;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.runtime.RecordCodec;
import org.amberpath.registry.runtime.RegistrySettings;
import org.amberpath.registry.runtime.RegistrySource;
import org.amberpath.routing.EndpointState;

/**
 * A real gateway on sockets while its registry changes several hundred times a minute, compacts,
 * lags, falls silent and disconnects at random, from a seed. What the gateway was told is held
 * against what the registry holds each time that it is quiet, and what caches and clients saw
 * against the rules.
 */
public final class RegistryExperiment {
  private static final long MS = 1_000_000, REACHED = 1250 * MS, ON_SOCKETS = 50 * MS;
  private static final long DRAIN = 250 * MS + ON_SOCKETS, PURGE_MS = 300;
  private static final int EDGES = 8, TILLS = 8, MOST_LINES = 10;
  private static final long BUSY_MS = 4000, QUIET_MS = 2500, TICK_MS = 5, WARM_MS = 2500;

  /**
   * A loop of this process that comes so late is no fault of the gateway's: for a while nothing is
   * judged.
   */
  private static final long STALL = 25 * MS, UNJUDGED = 800 * MS;

  private static final double VOID = 0.2;

  private final SplittableRandom chance;
  private final LoopbackTestbed world;
  private final List<String> wrong = new ArrayList<>();
  private final RecordedEndpointList told;

  /** Of each drained cache, when that was written; forgotten when it is ready again. */
  private final Map<String, Long> drainedAt = new HashMap<>();

  private final Map<String, Long> purgedAtMs = new HashMap<>();

  /**
   * The late GETs looked at, each once: bounded by the drains of a day and the GETs that came late
   * to each.
   */
  private final Set<String> late = new HashSet<>();

  private final Set<String> absent = new TreeSet<>();
  private long changes, faults, drains, purges, quiets, worstDrain, lastPurge, restores;
  private long lookedAt = System.nanoTime(), unjudged;
  private volatile long stalledAt = System.nanoTime();
  private boolean busy, restoring;

  private RegistryExperiment(long seed) {
    chance = new SplittableRandom(seed);
    world = new LoopbackTestbed(seed);
    told = new RecordedEndpointList(System::nanoTime, line -> {}, this::wrong).purgedOften();
  }

  private synchronized void wrong(String what) {
    if (wrong.size() < MOST_LINES) {
      wrong.add(what);
    }
  }

  /** Plays so many seconds. */
  public static ExperimentReport run(long seed, int seconds, RegistrySettings.ProtocolKind form)
      throws Exception {
    return new RegistryExperiment(seed).play(seed, seconds, form);
  }

  private ExperimentReport play(long seed, int seconds, RegistrySettings.ProtocolKind form)
      throws Exception {
    ExperimentReport result = new ExperimentReport(seed).figure("form", form.name());
    try (world) {
      world.open(3, EDGES);
      world.serve(
          (vertx, to, own) -> new RegistrySource(vertx, world.access(form), told.to(to), own));
      LoadGenerator tills =
          new LoadGenerator(world.vertx, LabSettings.CLIPS, 1500, seed, this::returned);
      LoopbackTestbed.await(world.on(() -> tills.start(world.gateway.port(), TILLS, 150)));
      // Cold code is slow, and no fault of what is tried.
      Thread.sleep(WARM_MS);
      long until = System.nanoTime() + seconds * 1000L * MS;
      long since = System.nanoTime();
      world.on(
          () -> {
            lookedAt =
                since; // Guards against the time of the start, which would count as a standstill.
            stalledAt = since - UNJUDGED;
            return world.vertx.setPeriodic(TICK_MS, tick -> looked());
          });
      world.watchGateway(
          TICK_MS,
          late -> {
            if (late > STALL) {
              stalledAt = System.nanoTime();
            }
          });
      do {
        world.on(
            () -> {
              busy = true;
              change();
              fault();
              return null;
            });
        Thread.sleep(BUSY_MS);
        quiet();
      } while (System.nanoTime() < until);
      world.on(
          () -> {
            tills.stop();
            return null;
          });
      Thread.sleep(1700);
      for (LoadGenerator.End end : LoadGenerator.End.values()) {
        result.figure(end.name().toLowerCase(Locale.ROOT), tills.ended(end));
      }
      result
          .figure("changes", changes)
          .figure("faults", faults)
          .figure("restores", restores)
          .figure("drains", drains)
          .figure("purges", purges)
          .figure("quiet_times", quiets)
          .figure("listings", told.listings())
          .figure("last_get_after_drain_ms", worstDrain / MS)
          .figure("unjudged_ms", unjudged / MS)
          .figure("p99_ms", tills.latency().getValueAtPercentile(99) / 1000.0)
          .figure("wrong", wrong)
          .bar("view equals registry, drains, purges, order", wrong.isEmpty())
          .bar("not void: four fifths judged", unjudged <= (System.nanoTime() - since) * VOID)
          .bar("no GET lost", tills.ended(LoadGenerator.End.LOST) == 0)
          .bar("one answer each", tills.ended(LoadGenerator.End.TWICE) == 0);
    }
    return result;
  }

  private boolean isJudged() {
    return System.nanoTime() - stalledAt > UNJUDGED;
  }

  private boolean goodFor(long time) {
    return isJudged() && world.registry.endpoints().stream().anyMatch(one -> one.goodFor(time));
  }

  // ---- What happens.

  private void change() {
    if (!busy) {
      return;
    }
    if (!restoring) {
      changeOne();
    }
    world.vertx.setTimer(chance.nextLong(20, 220), again -> change());
  }

  private void changeOne() {
    changes++;
    String id = "e" + chance.nextInt(EDGES);
    switch (chance.nextInt(8)) {
      case 0, 1, 2 -> {
        // Half of the caches stay.
        if (drainedAt.size() + absent.size() < EDGES / 2
            && !absent.contains(id)
            && !drainedAt.containsKey(id)) {
          world.put(id, EndpointState.DRAINING);
          drainedAt.put(id, System.nanoTime());
          drains++;
        }
      }
      case 3 -> {
        if (drainedAt.size() + absent.size() < EDGES / 2
            && !drainedAt.containsKey(id)
            && absent.add(id)) {
          world.put(id, null);
        }
      }
      case 4 -> {
        long object = 1L + chance.nextInt(20);
        long at = System.currentTimeMillis();
        String name = String.format("%016x", object),
            key = LoopbackTestbed.PREFIX + RecordCodec.PURGES_PREFIX + ++lastPurge;
        world.write(key, RecordCodec.encode(new RegistryRecord.Purge(object, 0, at)));
        purgedAtMs.put(name, at);
        purges++;
        for (StandInCache cache : world.caches.values()) {
          world.vertx.setTimer(1 + chance.nextLong(1500), late -> cache.drop(name));
        }
      }
      case 5 ->
          world.write(
              LoopbackTestbed.PREFIX + RecordCodec.CACHES_PREFIX + "spoilt",
              new byte[] {'{', (byte) chance.nextInt(256)});
      default -> {
        drainedAt.remove(id);
        absent.remove(id);
        world.put(id, EndpointState.UP);
      }
    }
    if (chance.nextInt(5) == 0) {
      world.registry.compact(chance.nextLong(10));
    }
  }

  private void fault() {
    if (!busy) {
      return;
    }
    List<Endpoint> all = world.registry.endpoints();
    Endpoint one = all.get(chance.nextInt(all.size()));
    if (!restoring) {
      faults++;
      switch (chance.nextInt(8)) {
        case 0 -> one.cut();
        case 1 -> one.finish();
        case 2, 3 -> away(one, Way.SILENT);
        case 4 -> away(one, Way.REFUSES);
        case 5 -> away(one, Way.UNAVAILABLE);
        case 6 -> one.lag(chance.nextLong(400));
        default -> {
          if (chance.nextInt(3) == 0) {
            restore(all);
          }
        }
      }
      world.vertx.setTimer(1 + chance.nextLong(1500), later -> one.lag(0));
    }
    world.vertx.setTimer(chance.nextInt(4) == 0 ? 1 : chance.nextLong(50, 1200), again -> fault());
  }

  private void away(Endpoint one, Way way) {
    one.become(way);
    world.vertx.setTimer(
        1 + chance.nextLong(1500),
        later -> {
          if (!restoring) {
            one.become(Way.ANSWERS);
          }
        });
  }

  /**
   * All endpoints go, and come back with a registry of another id that holds what was backed up
   * just before.
   */
  private void restore(List<Endpoint> all) {
    restoring = true;
    restores++;
    Runnable backup = world.registry.backup("10" + (1 + restores));
    all.forEach(one -> one.become(Way.REFUSES));
    world.vertx.setTimer(
        1300,
        later -> {
          backup.run();
          restoring = false;
          told.otherHistory();
          all.forEach(one -> one.become(Way.ANSWERS));
        });
  }

  private void quiet() throws Exception {
    world.on(() -> busy = false);
    Thread.sleep(1600);
    world.on(
        () -> {
          world
              .registry
              .endpoints()
              .forEach(
                  one -> {
                    one.lag(0);
                    one.become(Way.ANSWERS);
                  });
          return null;
        });
    Thread.sleep(QUIET_MS);
    world.on(
        () -> {
          quiets++;
          Map<String, EndpointState> there = new HashMap<>();
          world.registry.now().keySet().stream()
              .filter(key -> key.startsWith(LoopbackTestbed.PREFIX + RecordCodec.CACHES_PREFIX))
              .map(
                  key ->
                      key.substring((LoopbackTestbed.PREFIX + RecordCodec.CACHES_PREFIX).length()))
              .filter(id -> !id.equals("spoilt"))
              .forEach(
                  id ->
                      there.put(
                          id,
                          drainedAt.containsKey(id) ? EndpointState.DRAINING : EndpointState.UP));
          Map<String, EndpointState> seen = told.states();
          if (!there.equals(seen)) {
            wrong("quiet, the registry holds " + there + " and the gateway was told " + seen);
          }
          return null;
        });
  }

  // ---- What is looked at.

  /**
   * A GET that came to a drained cache too late, while the drain could be known. Judged once, when
   * it is first seen: guards against a GET that is blamed seconds later, when an endpoint has been
   * good for long again.
   */
  private void looked() {
    long now = System.nanoTime();
    if (now - lookedAt > TICK_MS * MS + STALL) {
      stalledAt = now;
    }
    unjudged += isJudged() ? 0 : now - lookedAt;
    lookedAt = now;
    drainedAt.forEach(
        (id, at) -> {
          long after = world.caches.get(id).lastWantAt() - at;
          boolean fresh = after > 0 && late.add(id + at + "/" + after);
          if (fresh && after > worstDrain && goodFor(REACHED)) {
            worstDrain = after;
          }
          if (fresh && after > DRAIN && goodFor(REACHED)) {
            wrong("a GET came to " + id + " " + after / MS + " ms after its drain");
          }
        });
  }

  /** A copy from before a purge, for a GET that was sent after the grace. */
  private void returned(LoadGenerator.Returned got) {
    Long purged = purgedAtMs.get(got.object());
    long sentMs = System.currentTimeMillis() - (System.nanoTime() - got.sentAt()) / MS;
    if (purged != null
        && got.issuedMs() < purged
        && sentMs > purged + PURGE_MS + ON_SOCKETS / MS
        && goodFor(REACHED)) {
      wrong(
          "object "
              + got.object()
              + " from "
              + (purged - got.issuedMs())
              + " ms before its purge was returned "
              + (sentMs - purged)
              + " ms after it");
    }
  }
}
