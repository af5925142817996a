import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Six gateways read one registry. It is down for some seconds, again and again, and each time a
 * cache begins to drain as soon as it is back. No gateway may send that cache a new GET later than
 * the drain's grace after the registry has committed it.
 */
public final class DrainAtReturn {
  private static final int GATEWAYS = 6;
  private static final int ALLOW_MILLIS = 3000;

  /** The drain's grace of the settings, and the 50 ms that each time limit is longer on sockets. */
  private static final long GRACE_MILLIS = 250 + 50;

  private static final long OUTAGE_MILLIS = 4000;

  private static final Map<String, Long> lastAtDraining = new ConcurrentHashMap<>();

  public static void main(String[] arguments) throws Exception {
    World.open(arguments[0]);
    World.limit(118);
    long begin = System.currentTimeMillis();
    Registry registry = new Registry(3);
    List<String> entries = new ArrayList<>();
    for (int index = 0; index < 4; index++) {
      add(entries, cache("c" + index), "small-box");
    }
    add(entries, cache("o0"), "origin");
    registry.put(entries.toArray(new String[0]));
    String ready = entries.get(entries.indexOf("caches/c1") + 1);
    String draining = ready.replace("\"ready\"", "\"draining\"");
    Path config = Files.createTempFile("gateway", ".json");
    Files.writeString(
        config,
        "{\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"memory_mb\":192,\"sockets\":1024},"
            + "\"settings\":{\"my-zone\":\"edge-1\",\"zones\":[\"central\",\"edge-1\"],\"kinds\":["
            + "\"small-box\",\"parent\",\"origin\"],\"replicas-of-me\":6,\"family-info\":{"
            + "\"mid-kind\":1,\"store-kind\":2,\"purge-takes-s\":6,\"heed-within-s\":0.3},"
            + "\"guarantees\":{\"drain-grace-s\":0.25},\"bounds\":{\"max-attempts\":6,"
            + "\"second-copies\":true,\"cancel\":true,\"max-open\":20000,\"multiplex\":100,"
            + "\"retry-after\":true,\"max-retry-after-s\":1},\"classes\":[{\"name\":"
            + "\"video-parts\",\"idempotency\":\"repeatable\",\"target-s\":0.4,"
            + "\"hard-limit-s\":6}]}}");
    List<Registry.Proxy> proxies = new ArrayList<>();
    List<World.Gateway> gateways = new ArrayList<>();
    for (int index = 0; index < GATEWAYS; index++) {
      List<Registry.Proxy> own = registry.newProxies();
      proxies.addAll(own);
      // The seed differs with each gateway and start, as on the platform.
      Path ownConfig = Files.createTempFile("gateway", ".json");
      Files.writeString(
          ownConfig,
          Files.readString(config)
              .replace("8c1f30d27a5be964", Long.toHexString(System.nanoTime() * 31 + index)));
      gateways.add(
          World.gateway("n" + index, "127.0.0.1:0", ownConfig, Registry.deploymentFile(own)));
    }
    for (World.Gateway gateway : gateways) {
      gateway.awaitServing(30);
      startLoad(gateway);
    }
    World.sleep(3000);

    int cycles = 0;
    int late = 0;
    long latest = 0;
    while (System.currentTimeMillis() < begin + 103_000) {
      if (World.TROUBLE) {
        for (Registry.Proxy proxy : proxies) {
          proxy.down();
        }
        World.log("registry down");
        World.sleep(OUTAGE_MILLIS);
        for (Registry.Proxy proxy : proxies) {
          proxy.up();
        }
        World.log("registry up");
      } else {
        World.sleep(OUTAGE_MILLIS);
      }
      lastAtDraining.clear();
      registry.put("caches/c1", draining);
      long committedMillis = System.currentTimeMillis();
      World.sleep(2000);
      for (Map.Entry<String, Long> last : lastAtDraining.entrySet()) {
        long afterMillis = last.getValue() - committedMillis;
        World.log("last GET of " + last.getKey() + " at the draining cache after=" + afterMillis);
        if (afterMillis > GRACE_MILLIS) {
          World.log("BROKEN drain: " + last.getKey() + " after=" + afterMillis);
          late++;
          latest = Math.max(latest, afterMillis);
        }
      }
      registry.put("caches/c1", ready);
      World.sleep(1000);
      cycles++;
    }
    String counts =
        "drains=" + cycles + " gateways=" + GATEWAYS + " gateways-late=" + late + " latest-ms=" + latest;
    World.finish(late > 0 ? World.BROKEN : World.HELD, counts);
  }

  private static World.Cache cache(String id) throws IOException {
    World.Behaviour serves = World.serves(10, 500);
    World.Cache cache =
        new World.Cache(
            id,
            (self, want) -> {
              if (self.id.equals("c1")) {
                // The object's first digit tells which gateway was asked.
                lastAtDraining.put("n" + want.field("obj").charAt(0), want.atMillis);
              }
              serves.wanted(self, want);
            });
    cache.logs = false;
    return cache;
  }

  private static void add(List<String> entries, World.Cache cache, String kind) {
    entries.add("caches/" + cache.id);
    entries.add(
        Registry.cache(cache.address(), kind.equals("origin") ? "central" : "edge-1", kind, "ready"));
  }

  /** Sends the gateway 100 GETs a second, for objects that begin with its number. */
  private static void startLoad(World.Gateway gateway) throws IOException {
    World.Client client = new World.Client(gateway.port);
    client.logs = false;
    World.thread(
        "load",
        () -> {
          Random random = new Random(gateway.name.hashCode());
          try {
            while (true) {
              String object = gateway.name.substring(1) + String.format("%015x", random.nextInt(1 << 30));
              client.send("video-parts", object, 0, ALLOW_MILLIS, new byte[0]);
              World.sleep(10);
            }
          } catch (IOException e) {
            World.log("load of " + gateway.name + " ended: " + e);
          }
        });
  }
}
