import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Case: a client sends as many GETs at once as a connection may carry, and reads at its link's pace. */
final class ManyAtOnce {
  static final int PACE = Integer.getInteger("pace", 5_000_000);
  static final int BODY = Integer.getInteger("body", 230_000);
  static final int AT_ONCE = 32;
  static final int RECEIVE_BUFFER = Integer.getInteger("rcvbuf", 0);
  static final int ROUNDS = Integer.getInteger("rounds", 6);
  static final int CLIENTS = Integer.getInteger("clients", 8);

  public static void main(String[] arguments) {
    int exit = 2;
    try (Rig rig = new Rig(arguments[0])) {
      exit = run(rig);
    } catch (Exception e) {
      e.printStackTrace(); // The case could not run, unless it has been judged already.
    }
    System.exit(exit);
  }

  private static int run(Rig rig) throws Exception {
    Random random = new Random(2);
    List<Cache> caches = new ArrayList<>();
    Cache.Behaviour behaviour =
        new Cache.Behaviour() {
          @Override
          public long answerAfterMillis(Cache cache, Cache.Want want) {
            return 20 + Math.abs(want.id().hashCode() % 30);
          }

          @Override
          public int bodyBytes(Cache.Want want) {
            return BODY;
          }
        };
    for (int index = 0; index < 6; index++) {
      caches.add(rig.own(new Cache("c" + index, "edge-1", "small-box", behaviour)));
    }
    caches.add(rig.own(new Cache("p0", "central", "parent", behaviour)));
    caches.add(rig.own(new Cache("o0", "central", "origin", behaviour)));
    Journal journal = rig.own(new Journal());
    journal.tellCaches(true, caches, "ready", 0);
    int port = Rig.freePort();
    Rig.GatewayProcess gateway =
        rig.startGateway(
            "g1",
            port,
            Settings.configuration(
                "g1", port, journal.address(), journal.known(0), 1, Integer.getInteger("memory", 128), 1024),
            java.util.Map.of());
    if (!gateway.awaitReady(30_000)) {
      rig.say("the gateway did not get ready");
      return 2;
    }
    List<Client.Request> requests = new ArrayList<>();
    List<Client> clients = new ArrayList<>();
    for (int index = 0; index < CLIENTS; index++) {
      clients.add(rig.own(new Client(port, RECEIVE_BUFFER, PACE)));
    }
    for (int round = 0; round < ROUNDS; round++) {
      List<String> objects = new ArrayList<>();
      for (int client = 0; client < CLIENTS; client++) {
        if (clients.get(client).hasEnded()) {
          clients.set(client, rig.own(new Client(port, RECEIVE_BUFFER, PACE)));
          rig.log("client %d opened a new connection", client);
        }
        objects.add(String.format("%016x", random.nextInt(500) + 1L));
      }
      // With trouble, a client sends all its GETs at once; without, all clients send one after another.
      for (int step = 0; step < AT_ONCE * CLIENTS; step++) {
        int client = Rig.TROUBLE ? step / AT_ONCE : step % CLIENTS;
        int part = Rig.TROUBLE ? step % AT_ONCE : step / CLIENTS;
        try {
          requests.add(
              clients
                  .get(client)
                  .send("video-parts", objects.get(client), part, 7, 640, 5000, new byte[0]));
        } catch (IOException e) {
          rig.log("client %d: %s", client, e);
        }
        if (!Rig.TROUBLE && client == CLIENTS - 1) {
          Thread.sleep(90);
        }
      }
      rig.log("client 0 has %d GETs open", clients.get(0).openCount());
      Thread.sleep(3000);
    }
    Thread.sleep(3000);
    long now = System.nanoTime();
    int lost = 0;
    int served = 0;
    for (Client.Request request : requests) {
      boolean isLost = request.isLost(now);
      lost += isLost ? 1 : 0;
      served += "served".equals(request.answer) ? 1 : 0;
      rig.log(
          "GET %s sent %.3f allow %d ms: %s%s%s",
          request.ref,
          rig.seconds(request.sentNanos),
          request.allowMillis,
          request.answer == null
              ? "no answer"
              : request.answer
                  + String.format(" after %.0f ms", (request.answeredNanos - request.sentNanos) / 1e6),
          request.connectionEnded ? ", its connection has ended" : "",
          isLost ? " LOST" : "");
    }
    rig.say(
        "%d GETs: %d returned, %d lost; gateway %s",
        requests.size(), served, lost, gateway.isAlive() ? "runs" : "has ended");
    return lost > 0 || !gateway.isAlive() ? 1 : 0;
  }
}
