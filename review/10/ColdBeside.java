import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A gateway reads the journal and, beside it, a registry that lists the same caches. One cache is
 * restarted: the journal tells that it drains, is gone, and is ready again with its new start. The
 * registry's entry stays as it is. The cold cache must not be sent more than the settings allow.
 */
public final class ColdBeside {
  private static final int RATE = 600;
  private static final int ALLOW_MILLIS = 2000;

  // depot-training: what a cold cache stands.
  private static final double COLD_SHARE = 0.18;
  private static final double COLD_SECONDS = 16;
  private static final double FALL_MULTIPLE = 2.5;
  private static final double FALL_SECONDS = 1.5;

  /** The weight of each cache: transfers at full pace that its link carries. */
  private static final int WEIGHT = 20;

  /** The mean sending time of the one delivery service, in seconds. */
  private static final double MEAN_WORK_SECONDS = 0.05;

  private static volatile long startedAtMillis;
  private static final AtomicReference<String> fallen = new AtomicReference<>();
  private static final ArrayDeque<Long> arrivals = new ArrayDeque<>();
  private static double worstRatio;
  private static int arrivedInAll;

  public static void main(String[] arguments) throws Exception {
    World.open(arguments[0]);
    World.limit(90);
    Registry registry = new Registry(3);
    World.Journal journal = new World.Journal();
    World.Cache c0 = new World.Cache("c0", World.serves(50, 500));
    World.Cache c1 = new World.Cache("c1", World.serves(50, 500));
    World.Cache origin = new World.Cache("o0", World.serves(50, 500));
    c0.logs = false;
    c1.logs = false;
    origin.logs = false;
    registry.put(
        "caches/c0", registryEntry(c0, "small-node"),
        "caches/c1", registryEntry(c1, "small-node"),
        "caches/o0", registryEntry(origin, "origin"));
    journal.add(
        World.hosts(
            true,
            instance(c0, "small-node", "ready", 0),
            instance(c1, "small-node", "ready", 0),
            instance(origin, "origin", "ready", 0)));
    Path config = Files.createTempFile("gateway", ".json");
    Files.writeString(
        config,
        "{\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"memory_mb\":192,\"sockets\":1024},"
            + "\"journal\":\"" + journal.address() + "\",\"known\":" + journal.after(0)
            + ",\"settings\":{\"my-zone\":\"depot-1\",\"zones\":[\"centro\",\"depot-1\"],"
            + "\"kinds\":[\"small-node\",\"parent\",\"origin\"],\"replicas-of-me\":1,"
            + "\"weights\":\"nominal\",\"family-info\":{\"mid-kind\":1,\"store-kind\":2,"
            + "\"purge-takes-s\":6,\"heed-within-s\":0.5},\"guarantees\":{\"drain-grace-s\":0.5,"
            + "\"cold-share\":" + COLD_SHARE + ",\"cold-s\":" + COLD_SECONDS
            + ",\"fall-multiple\":" + FALL_MULTIPLE + ",\"fall-s\":" + FALL_SECONDS + "},"
            + "\"bounds\":{\"max-attempts\":8,\"second-copies\":true,\"cancel\":true,"
            + "\"max-open\":20000,\"multiplex\":100},\"classes\":[{\"name\":\"procedure-page\","
            + "\"idempotency\":\"repeatable\",\"target-s\":0.25,\"hard-limit-s\":3}]}}");
    boolean beside = !"0".equals(System.getenv("BESIDE"));
    Path deployment = registry.deploymentFile("journal = beside");
    World.Gateway gateway =
        World.gateway("n1", "127.0.0.1:0", config, beside ? deployment : null).awaitServing(30);
    List<World.Client> clients = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      World.Client client = new World.Client(gateway.port);
      client.logs = false;
      clients.add(client);
    }
    World.thread("load", () -> load(clients));
    World.sleep(10_000);

    World.Cache restarted = c1;
    if (World.TROUBLE) {
      journal.add(World.hosts(false, instance(c1, "small-node", "draining", 0)));
      World.sleep(2000);
      c1.die();
      journal.add(World.hosts(false, instance(c1, "small-node", "gone", 0)));
      World.sleep(2000);
      int port = c1.server.getLocalPort();
      restarted = new World.Cache("c1", ColdBeside::coldAnswer, port);
      restarted.logs = false;
      startedAtMillis = System.currentTimeMillis();
      World.log("c1 started, cold");
      World.sleep(300);
      journal.add(World.hosts(false, instance(restarted, "small-node", "ready", startedAtMillis)));
      World.log("the journal tells the start of c1");
    }
    World.sleep(10_000);

    int served = 0;
    int all = 0;
    for (World.Client client : clients) {
      for (World.Sent sent : client.all) {
        all++;
        served += !sent.answers.isEmpty() && sent.answers.get(0).kind.equals("served") ? 1 : 0;
      }
    }
    String counts =
        "requests=" + all + " served=" + served + " at-the-cold-cache=" + arrivedInAll
            + String.format(" worst-share-of-the-bound=%.2f", worstRatio);
    if (served < all / 2) {
      World.finish(World.CANNOT_RUN, "too few answers: " + counts);
    }
    World.finish(
        fallen.get() == null ? World.HELD : World.BROKEN,
        counts + (fallen.get() == null ? "" : " fell: " + fallen.get()));
  }

  /** The restarted cache: serves, counts what reaches it, and falls over past the bound. */
  private static void coldAnswer(World.Cache cache, World.Want want) {
    synchronized (arrivals) {
      if (fallen.get() != null) {
        return;
      }
      arrivedInAll++;
      arrivals.addLast(want.atMillis);
      long windowMillis = (long) (FALL_SECONDS * 1000);
      while (arrivals.getFirst() < want.atMillis - windowMillis) {
        arrivals.removeFirst();
      }
      // The capacity rises evenly from the cold share; its mean over the window counts.
      double end = (want.atMillis - startedAtMillis) / 1000.0;
      double begin = Math.max(0, end - FALL_SECONDS);
      double share =
          Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * (begin + end) / 2 / COLD_SECONDS);
      double allowed = FALL_MULTIPLE * share * WEIGHT * FALL_SECONDS / MEAN_WORK_SECONDS;
      double bound =
          allowed < 30 ? allowed + 3 * Math.sqrt(allowed) + 3 : allowed + 2 * Math.sqrt(allowed) + 2;
      worstRatio = Math.max(worstRatio, arrivals.size() / bound);
      if (arrivals.size() > bound) {
        fallen.set(
            String.format(
                "%d ms after its start it had been sent %d GETs within %d ms, allowed %.0f and slack to %.0f",
                want.atMillis - startedAtMillis, arrivals.size(), windowMillis, allowed, bound));
        World.log("BROKEN cold start: " + fallen.get());
        World.after(1, cache::die);
        return;
      }
    }
    World.serves(50, 500).wanted(cache, want);
  }

  private static String instance(World.Cache cache, String kind, String state, long started) {
    return World.instance(
            cache.id, cache.address(), kind.equals("origin") ? "centro" : "depot-1", kind, state)
        .replace("\"weight\":4,\"startedAtMs\":0", "\"weight\":" + WEIGHT + ",\"startedAtMs\":" + started);
  }

  private static String registryEntry(World.Cache cache, String kind) {
    return Registry.cache(cache.address(), kind.equals("origin") ? "centro" : "depot-1", kind, "ready")
        .replace("\"weight\":4", "\"weight\":" + WEIGHT);
  }

  private static void load(List<World.Client> clients) {
    Random random = new Random(9);
    long begin = System.currentTimeMillis();
    try {
      for (long number = 0; ; number++) {
        World.sleep(begin + number * 1000 / RATE - System.currentTimeMillis());
        World.Client client = clients.get((int) (number % clients.size()));
        if (client.open.size() < 31) {
          client.send(
              "procedure-page",
              String.format("%016x", 1 + random.nextInt(100_000)),
              0,
              ALLOW_MILLIS,
              new byte[0]);
        }
      }
    } catch (IOException e) {
      World.log("the load ended: " + e);
    }
  }
}
