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
  private static final int RATE = 200, TILLS = 8;

  private Demo() {}

  public static ExperimentReport run(long seed, int seconds, PrintStream out) throws Exception {
    ExperimentReport result = new ExperimentReport(seed);
    try (LoopbackTestbed world = new LoopbackTestbed(seed)) {
      world.open(1, 4);
      world.serve(
          (vertx, to, chance) ->
              new RegistrySource(
                  vertx, world.access(RegistrySettings.ProtocolKind.ETCD), to, chance));
      out.println(
          "a gateway at 127.0.0.1:"
              + world.gateway.port()
              + ", 4 edge caches, a hub, the origin; "
              + RATE
              + " GETs/s for "
              + seconds
              + " s");
      LoadGenerator tills =
          new LoadGenerator(world.vertx, LabSettings.CLIPS, 1500, seed, got -> {});
      LoopbackTestbed.await(world.on(() -> tills.start(world.gateway.port(), TILLS, RATE)));
      Thread.sleep(seconds * 1000L / 3);
      out.println("cache e1 dies");
      world.on(
          () -> {
            world.caches.get("e1").close();
            return null;
          });
      Thread.sleep(seconds * 1000L / 3);
      out.println("cache e2 is drained");
      long drainedAt =
          world.on(
              () -> {
                world.put("e2", EndpointState.DRAINING);
                return System.nanoTime();
              });
      Thread.sleep(seconds * 1000L / 3);
      world.on(
          () -> {
            tills.stop();
            return null;
          });
      Thread.sleep(1700);
      world.on(
          () -> {
            table(tills, world, out);
            long last = world.caches.get("e2").lastWantAt() - drainedAt;
            out.printf("last GET to e2 %.1f ms after its drain was written%n", last / 1e6);
            for (LoadGenerator.End end : LoadGenerator.End.values()) {
              result.figure(end.name().toLowerCase(Locale.ROOT), tills.ended(end));
            }
            result
                .figure("p50_ms", tills.latency().getValueAtPercentile(50) / 1000.0)
                .figure("p99_ms", tills.latency().getValueAtPercentile(99) / 1000.0)
                .figure("drained_after_ms", last / 1_000_000)
                .bar("no GET lost", tills.ended(LoadGenerator.End.LOST) == 0)
                .bar("one answer each", tills.ended(LoadGenerator.End.TWICE) == 0)
                .bar("nothing new 250 ms after a drain", last < 300_000_000);
            return null;
          });
    }
    return result;
  }

  /** What an end means to who asked. */
  private static String why(LoadGenerator.End end) {
    return switch (end) {
      case RETURNED -> "a cache made it";
      case SHED -> "not run; told when to come back";
      case ERRORED -> "may have run, not returned";
      case LOST -> "no answer in time";
      case TWICE -> "more than one answer";
    };
  }

  private static void table(LoadGenerator tills, LoopbackTestbed world, PrintStream out) {
    for (LoadGenerator.End end : LoadGenerator.End.values()) {
      out.printf("  %-9s %6d  %s%n", end, tills.ended(end), why(end));
    }
    out.printf(
        "  latency   p50 %.1f ms, p99 %.1f ms, max %.1f ms%n",
        tills.latency().getValueAtPercentile(50) / 1e3,
        tills.latency().getValueAtPercentile(99) / 1e3,
        tills.latency().getMaxValue() / 1e3);
    world
        .caches
        .values()
        .forEach(
            cache ->
                out.printf(
                    "  %-3s %6d GETs, %d from its own copies, gave %d parts%n",
                    cache.id(), cache.wants(), cache.hits(), cache.fills()));
  }
}
