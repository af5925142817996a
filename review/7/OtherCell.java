import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway reads the journal and, beside it, a registry that lists the same caches without their
 * cells. Some connections to caches are reset under tokened GETs, which may have run. Such a GET
 * may go only to a cache of the same cell again, since no other drops the repeat.
 */
public final class OtherCell {
  private static final int RATE = 60;
  private static final int ALLOW_MILLIS = 3000;

  /** One of so many tokened GETs loses its connection after it has run. */
  private static final int RESET_EACH = 20;

  private static final Map<String, Integer> cellOfCache = new ConcurrentHashMap<>();

  /** The cell in which a GET ran first, by its reference. */
  private static final Map<String, Integer> ranInCell = new ConcurrentHashMap<>();

  private static final AtomicInteger arrivals = new AtomicInteger();
  private static final AtomicInteger resets = new AtomicInteger();
  private static final AtomicInteger repeats = new AtomicInteger();
  private static final AtomicInteger ranTwice = new AtomicInteger();

  public static void main(String[] arguments) throws Exception {
    World.open(arguments[0]);
    World.limit(90);
    Registry registry = new Registry(3);
    World.Journal journal = new World.Journal();
    List<String> entries = new ArrayList<>();
    List<String> instances = new ArrayList<>();
    for (int index = 0; index < 6; index++) {
      int cell = 1 + index / 2;
      cellOfCache.put("c" + index, cell);
      add(entries, instances, new World.Cache("c" + index, OtherCell::answer), "light", cell);
    }
    cellOfCache.put("o0", 0);
    add(entries, instances, new World.Cache("o0", OtherCell::answer), "origin", 0);
    registry.put(entries.toArray(new String[0]));
    journal.add(World.hosts(true, instances.toArray(new String[0])));
    Path config = Files.createTempFile("gateway", ".json");
    Files.writeString(
        config,
        "{\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"memory_mb\":192,\"sockets\":1024},"
            + "\"journal\":\"" + journal.address() + "\",\"known\":" + journal.after(0)
            + ",\"settings\":{\"my-zone\":\"branch-1\",\"zones\":[\"middle\",\"branch-1\"],"
            + "\"kinds\":[\"light\",\"parent\",\"origin\"],\"replicas-of-me\":1,\"family-info\":{"
            + "\"mid-kind\":1,\"store-kind\":2,\"purge-takes-s\":6,\"heed-within-s\":0.3,"
            + "\"never-kept\":[true],\"bypass-allowed\":false},\"guarantees\":{"
            + "\"drain-grace-s\":1},\"bounds\":{\"max-attempts\":8,\"second-copies\":false,"
            + "\"cancel\":true,\"max-open\":20000,\"multiplex\":1},\"classes\":[{\"name\":"
            + "\"member-forms\",\"idempotency\":\"by_key\",\"group\":\"cell\",\"window-s\":2,"
            + "\"target-s\":0.6,\"hard-limit-s\":3}]}}");
    boolean beside = !"0".equals(System.getenv("BESIDE"));
    World.Gateway gateway =
        World.gateway(
                "n1", "127.0.0.1:0", config, beside ? registry.deploymentFile("journal = beside") : null)
            .awaitServing(30);
    World.sleep(2000);
    World.Client client = new World.Client(gateway.port);
    client.logs = false;
    Random random = new Random(10);
    long begin = System.currentTimeMillis();
    for (int number = 0; number < 20 * RATE; number++) {
      World.sleep(begin + number * 1000L / RATE - System.currentTimeMillis());
      if (client.open.size() < 31) {
        client.send(
            "member-forms",
            String.format("%016x", 1 + random.nextInt(1_000_000)),
            0,
            ALLOW_MILLIS,
            new byte[20],
            "replay",
            "token-" + number);
      }
    }
    World.sleep(ALLOW_MILLIS + 500);
    int served = 0;
    for (World.Sent sent : client.all) {
      served += !sent.answers.isEmpty() && sent.answers.get(0).kind.equals("served") ? 1 : 0;
    }
    String counts =
        "requests=" + client.all.size() + " served=" + served + " reset-after-they-ran=" + resets
            + " sent-again=" + repeats + " sent-again-to-another-cell=" + ranTwice;
    if (served < client.all.size() / 2) {
      World.finish(World.CANNOT_RUN, "too few answers: " + counts);
    }
    World.finish(ranTwice.get() > 0 ? World.BROKEN : World.HELD, counts);
  }

  private static void add(
      List<String> entries, List<String> instances, World.Cache cache, String kind, int cell)
      throws IOException {
    cache.logs = false;
    String zone = kind.equals("origin") ? "middle" : "branch-1";
    entries.add("caches/" + cache.id);
    // docs/operate/registry.md: `cell`, `weight`, `started_at_ms` may be left out.
    entries.add(
        Registry.cache(cache.address(), zone, kind, "ready")
            .replace(",\"cell\":0", "")
            .replace(",\"weight\":4,\"started_at_ms\":0", ""));
    instances.add(
        World.instance(cache.id, cache.address(), zone, kind, "ready")
            .replace("\"cell\":0", "\"cell\":" + cell));
  }

  /** Runs each GET that has not run in this cache's cell; resets some connections after that. */
  private static void answer(World.Cache cache, World.Want want) {
    int cell = cellOfCache.get(cache.id);
    Integer firstCell = ranInCell.putIfAbsent(want.id, cell);
    if (firstCell != null) {
      repeats.incrementAndGet();
      if (firstCell != cell) {
        ranTwice.incrementAndGet();
        World.log(
            "BROKEN twice: " + want.id + " ran in cell " + firstCell + " and again at " + cache.id
                + " in cell " + cell);
      }
    } else if (World.TROUBLE && arrivals.incrementAndGet() % RESET_EACH == 0) {
      resets.incrementAndGet();
      World.log("reset under " + want.id + " at " + cache.id + ", which has run it");
      want.connection().reset();
      return;
    }
    World.after(
        20, () -> want.answer("ok", "res=f", World.bodyOf(want.field("obj"), want.field("seg"), 200)));
  }
}
