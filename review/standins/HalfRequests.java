import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Case: bad clients send a part of a request each. */
final class HalfRequests {
  static final int BAD_CLIENTS = Integer.getInteger("bad", 450);
  static final int TROUBLE_MILLIS = 70_000;
  static final AtomicInteger HALVES = new AtomicInteger();
  static final int HOLD_MILLIS = Integer.getInteger("hold", 1500);
  static final int HALF_BYTES = Integer.getInteger("half", 120_000);

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
    Random random = new Random(1);
    List<Cache> caches = new ArrayList<>();
    Cache.Behaviour behaviour =
        new Cache.Behaviour() {
          @Override
          public long answerAfterMillis(Cache cache, Cache.Want want) {
            return 20 + Math.abs(want.id().hashCode() % 40);
          }

          @Override
          public int bodyBytes(Cache.Want want) {
            return 20_000;
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
            Settings.configuration("g1", port, journal.address(), journal.known(0), 1, 192, 1024),
            java.util.Map.of());
    if (!gateway.awaitReady(30_000)) {
      rig.say("the gateway did not get ready");
      return 2;
    }
    rig.log("ready");
    List<Client.Request> requests = new ArrayList<>();
    List<Client> clients = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      clients.add(rig.own(new Client(port)));
    }
    long start = System.nanoTime();
    long next = start;
    Thread bad = null;
    while (System.nanoTime() - start < 78_000 * Rig.MS && gateway.isAlive()) {
      long wait = next - System.nanoTime();
      if (wait > 0) {
        Thread.sleep(wait / Rig.MS, (int) (wait % Rig.MS));
      }
      next += 1_000_000_000L / 150;
      int index = random.nextInt(clients.size());
      try {
        if (clients.get(index).hasEnded()) {
          clients.set(index, rig.own(new Client(port)));
          rig.log("connection %d opened anew", index);
        }
        if (clients.get(index).openCount() >= 30) {
          continue; // A connection carries up to 32 open requests.
        }
        requests.add(
            clients
                .get(index)
                .send("video-parts", String.format("%016x", random.nextInt(500) + 1L), random.nextInt(8), random.nextInt(200), 640, 3000, new byte[0]));
      } catch (IOException e) {
        rig.log("client %d: %s", index, e);
      }
      if (Rig.TROUBLE && bad == null && System.nanoTime() - start > 5000 * Rig.MS) {
        bad = new Thread(() -> sendHalves(rig, gateway));
        bad.setDaemon(true);
        bad.start();
      }
    }
    if (bad != null) {
      bad.join(10_000);
    }
    Thread.sleep(4000);
    boolean isReady = gateway.awaitReady(10_000);
    long now = System.nanoTime();
    int lost = 0;
    int served = 0;
    int refused = 0;
    int failed = 0;
    for (Client.Request request : requests) {
      boolean isLost = request.isLost(now);
      lost += isLost ? 1 : 0;
      served += "served".equals(request.answer) ? 1 : 0;
      refused += "refused".equals(request.answer) ? 1 : 0;
      failed += "failed".equals(request.answer) ? 1 : 0;
      rig.log(
          "GET %s sent %.3f allow %d ms: %s%s",
          request.ref,
          rig.seconds(request.sentNanos),
          request.allowMillis,
          request.answer == null ? (request.connectionEnded ? "no answer, its connection has ended" : "no answer") : request.answer + String.format(" after %.0f ms", (request.answeredNanos - request.sentNanos) / 1e6),
          isLost ? " LOST" : "");
    }
    rig.say(
        "%d GETs: %d returned, %d shed, %d errored, %d lost; the gateway's process %s;"
            + " status some seconds after the last bad client: %s",
        requests.size(),
        served,
        refused,
        failed,
        lost,
        gateway.isAlive() ? "runs" : "has ended",
        isReady ? "true" : "no answer");
    return lost > 0 || !gateway.isAlive() || !isReady ? 1 : 0;
  }

  /**
   * The bad clients: each sends half of a request and closes a little later; then all do the same
   * again.
   */
  private static void sendHalves(Rig rig, Rig.GatewayProcess gateway) {
    long until = System.nanoTime() + TROUBLE_MILLIS * Rig.MS;
    rig.log("bad clients begin: %d, %d bytes each", BAD_CLIENTS, HALF_BYTES);
    while (System.nanoTime() < until && gateway.isAlive()) {
      List<Socket> sockets = new ArrayList<>();
      for (int index = 0; index < BAD_CLIENTS; index++) {
        try {
          Client.Request request =
              new Client.Request(Client.newRef(), "video-parts", "00000000000000aa", 0, 3000);
          byte[] message = Client.encode(1, request, 1, 640, new byte[240_000]);
          Socket socket = new Socket();
          sockets.add(socket);
          socket.connect(new java.net.InetSocketAddress("127.0.0.1", gateway.port), 1000);
          socket.getOutputStream().write(Arrays.copyOf(message, HALF_BYTES));
          HALVES.incrementAndGet();
        } catch (IOException e) {
          if (System.nanoTime() > until) {
            break;
          }
        }
      }
      rig.log("%d halves have been sent", HALVES.get());
      try {
        Thread.sleep(HOLD_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      for (Socket socket : sockets) {
        try {
          socket.close();
        } catch (IOException e) {
          rig.log("bad client: %s", e);
        }
      }
    }
    rig.log("bad clients have ended");
  }
}
