import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Three gateways elect the one that deletes old purges. The leader is killed while its deletion is
 * on the way to the registry, and another gateway becomes the leader. The late deletion of the
 * former leader must not be carried out then.
 */
public final class StaleSweep {
  private static final int GATEWAYS = 3;
  private static final Pattern HOLDING =
      Pattern.compile("task=sweep from=\\w+ to=HOLDING term=(\\d+)");

  private static volatile boolean armed;
  private static volatile int leader = -1;
  private static final CountDownLatch deletionSeen = new CountDownLatch(1);
  private static final CountDownLatch release = new CountDownLatch(1);

  public static void main(String[] arguments) throws Exception {
    World.open(arguments[0]);
    World.limit(110);
    Registry registry = new Registry(3);
    World.Cache cache = new World.Cache("c0", World.serves(20, 500));
    registry.put("caches/c0", Registry.cache(cache.address(), "depot-1", "small-node", "ready"));
    for (int index = 0; index < 5; index++) {
      registry.put(
          "purges/p" + index,
          "{\"v\":1,\"group\":" + (index + 1) + ",\"at_ms\":" + System.currentTimeMillis() + "}");
    }
    Path keys = Files.createTempFile("keys", "");
    Files.writeString(keys, "k1 00112233445566778899aabbccddeeff\n");
    int[] udp = new int[GATEWAYS];
    for (int index = 0; index < GATEWAYS; index++) {
      udp[index] = World.freePort();
    }
    List<World.Gateway> gateways = new ArrayList<>();
    for (int index = 0; index < GATEWAYS; index++) {
      List<Registry.Proxy> proxies = registry.newProxies();
      int number = index;
      proxies.forEach(proxy -> proxy.onRequest = text -> requestSeen(number, text));
      Path config = Files.createTempFile("gateway", ".json");
      Files.writeString(
          config,
          "{\"seed\":\"" + Long.toHexString(System.nanoTime() + index) + "\",\"limits\":{"
              + "\"memory_mb\":192,\"sockets\":1024},\"settings\":{\"my-zone\":\"depot-1\","
              + "\"zones\":[\"centro\",\"depot-1\"],\"kinds\":[\"small-node\",\"parent\",\"origin\"],"
              + "\"replicas-of-me\":3,\"family-info\":{\"mid-kind\":1,\"store-kind\":2,"
              + "\"purge-takes-s\":6},\"bounds\":{\"max-attempts\":8},\"classes\":[{\"name\":"
              + "\"procedure-page\",\"idempotency\":\"repeatable\",\"target-s\":0.25,"
              + "\"hard-limit-s\":3}]}}");
      Path deployment =
          Registry.deploymentFile(
              proxies,
              "retention-s = 10",
              "[fleet]",
              "listen = 127.0.0.1:" + udp[index],
              "seeds = 127.0.0.1:" + udp[0] + ", 127.0.0.1:" + udp[1],
              "key = " + keys,
              "[owner]",
              "voters = n0, n1, n2",
              "sweep = yes",
              "sweep-every-s = 1");
      gateways.add(World.gateway("n" + index, "127.0.0.1:0", config, deployment));
    }
    for (World.Gateway gateway : gateways) {
      gateway.awaitServing(30);
    }
    armed = World.TROUBLE;
    if (!World.TROUBLE) {
      World.sleep(30_000);
      World.finish(
          registry.read("purges/").isEmpty() ? World.HELD : World.CANNOT_RUN,
          "purges left=" + registry.read("purges/").size());
    }
    if (!deletionSeen.await(60, TimeUnit.SECONDS)) {
      World.finish(World.CANNOT_RUN, "no gateway began to delete");
    }
    World.Gateway former = gateways.get(leader);
    long formerTerm = termOf(former);
    former.signal("KILL");
    World.log(former.name + " killed, its deletion under term " + formerTerm + " is on the way");
    long killedMillis = System.currentTimeMillis();
    World.Gateway successor = null;
    while (successor == null) {
      if (System.currentTimeMillis() > killedMillis + 30_000) {
        World.finish(World.CANNOT_RUN, "no other gateway became the leader");
      }
      World.sleep(20);
      for (World.Gateway gateway : gateways) {
        successor = gateway != former && termOf(gateway) > formerTerm ? gateway : successor;
      }
    }
    long delayedMillis = System.currentTimeMillis() - killedMillis;
    World.log(successor.name + " leads under term " + termOf(successor));
    Map<String, String> before = registry.read("purges/");
    Map<String, String> fenceBefore = registry.read("tasks/sweep");
    World.log("registry before: purges " + before.keySet() + " fence " + fenceBefore);
    release.countDown();
    World.sleep(1000);
    Map<String, String> after = registry.read("purges/");
    Map<String, String> fenceAfter = registry.read("tasks/sweep");
    World.log("registry after: purges " + after.keySet() + " fence " + fenceAfter);
    String written = fenceAfter.getOrDefault("tasks/sweep", "");
    boolean staleActed =
        !fenceAfter.equals(fenceBefore)
            && written.contains("\"term\":" + formerTerm)
            && written.contains(former.name);
    World.finish(
        staleActed ? World.BROKEN : World.HELD,
        "former=" + former.name + " term=" + formerTerm + " new=" + successor.name + " term="
            + termOf(successor) + " delayed-ms=" + delayedMillis + " purges-before=" + before.size()
            + " purges-after=" + after.size() + " registry-says " + written);
  }

  /** Holds back the first deletion that a gateway sends. */
  private static void requestSeen(int gateway, String text) {
    if (armed && text.contains("/v3/kv/txn")) {
      synchronized (StaleSweep.class) {
        if (leader >= 0) {
          return;
        }
        leader = gateway;
      }
      World.log("n" + gateway + " sends a deletion; it is held back");
      deletionSeen.countDown();
      try {
        release.await(60, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** The last term under which a gateway's log says that it leads; 0 for none. */
  private static long termOf(World.Gateway gateway) {
    long term = 0;
    for (String line : gateway.lines) {
      Matcher matcher = HOLDING.matcher(line);
      term = matcher.find() ? Long.parseLong(matcher.group(1)) : term;
    }
    return term;
  }
}
