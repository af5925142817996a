import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Case: the registry answers one of two gateways late, and both hold the same task. */
final class LateAnswers {
  static final long DELAY_MILLIS = Long.getLong("delay", 2100);
  static final long SECOND_READY_MILLIS = Long.getLong("second", 5200);
  static final int ROUNDS = 3;
  private static final Pattern TASK =
      Pattern.compile("\"task\":\"sweep\",\"state\":\"(\\w+)\",\"holds\":(\\w+),\"term\":(\\d+),\"left_ms\":(\\d+)");

  /** What a gateway said of the task. */
  record Status(long askedNanos, long answeredNanos, String state, boolean holds, long term, long leftMillis) {}

  public static void main(String[] arguments) {
    int exit = 2;
    try (Rig rig = new Rig(arguments[0])) {
      // The second gateway's start takes a varying time, so there are up to three rounds.
      for (int round = 0; round < ROUNDS && exit != 1; round++) {
        rig.log("round %d", round + 1);
        exit = run(rig);
      }
    } catch (Exception e) {
      e.printStackTrace(); // The case could not run, unless it has been judged already.
    }
    System.exit(exit);
  }

  private static int run(Rig rig) throws Exception {
    Cache.Behaviour behaviour =
        new Cache.Behaviour() {
          @Override
          public long answerAfterMillis(Cache cache, Cache.Want want) {
            return 30;
          }

          @Override
          public int bodyBytes(Cache.Want want) {
            return 1000;
          }
        };
    List<Cache> caches = new ArrayList<>();
    for (int index = 0; index < 3; index++) {
      caches.add(rig.own(new Cache("c" + index, "edge-1", "small-box", behaviour)));
    }
    caches.add(rig.own(new Cache("o0", "central", "origin", behaviour)));
    Journal journal = rig.own(new Journal());
    journal.tellCaches(true, caches, "ready", 0);
    int[] registryPorts = {Rig.freePort(), Rig.freePort(), Rig.freePort()};
    rig.startTool(
        "lab", "standin", "registry", "--ports",
        registryPorts[0] + "," + registryPorts[1] + "," + registryPorts[2]);
    Thread.sleep(2500);

    Path key = rig.temporary.resolve("keys");
    Files.writeString(key, "k1 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n");
    Files.setPosixFilePermissions(key, PosixFilePermissions.fromString("rw-------"));
    int[] fleetPorts = {Rig.freePort(), Rig.freePort()};
    int[] operators = {Rig.freePort(), Rig.freePort()};
    List<Rig.GatewayProcess> gateways = new ArrayList<>();
    long launchedNanos = 0;
    List<List<Status>> seen = List.of(new ArrayList<>(), new ArrayList<>());
    for (int index = 0; index < 2; index++) {
      StringBuilder endpoints = new StringBuilder();
      for (int port : registryPorts) {
        // The first gateway reaches the registry by a link on which answers come late.
        int reached =
            index == 0 ? rig.own(new DelayProxy(port, Rig.TROUBLE ? DELAY_MILLIS : 0)).port() : port;
        endpoints.append(endpoints.length() == 0 ? "" : ", ").append("127.0.0.1:").append(reached);
      }
      Path ini = rig.temporary.resolve("g" + index + ".ini");
      Files.writeString(
          ini,
          "[registry]\nform = etcd\nendpoints = " + endpoints + "\njournal = beside\n"
              + "[fleet]\nlisten = 127.0.0.1:" + fleetPorts[index]
              + "\nseeds = 127.0.0.1:" + fleetPorts[0] + ", 127.0.0.1:" + fleetPorts[1]
              + "\ntold = 2\nkey = " + key + "\noperators = 127.0.0.1:" + operators[index] + "\n"
              + "[owner]\nby = lease\nlease-s = 3\nsweep = yes\n");
      if (index == 1) {
        // The second gateway is started some seconds after the first one stands for election.
        long asks = System.nanoTime() + 15_000 * Rig.MS;
        while (seen.get(0).stream().allMatch(one -> one.state.equals("following"))
            && System.nanoTime() < asks) {
          watch(rig, operators, seen, System.nanoTime() + 50 * Rig.MS);
        }
        // It is to stand for election about 6 s later, however long a start takes on this machine.
        long startNanos =
            seen.get(0).isEmpty() ? 0 : seen.get(0).get(0).askedNanos - launchedNanos;
        watch(
            rig,
            operators,
            seen,
            System.nanoTime() + Math.max(0, SECOND_READY_MILLIS * Rig.MS - startNanos));
      }
      int port = Rig.freePort();
      launchedNanos = System.nanoTime();
      gateways.add(
          rig.startGateway(
              "g" + index,
              port,
              Settings.configuration(
                  "g" + index, port, journal.address(), journal.known(0), 2, 192, 1024),
              Map.of("AMBERPATH_FILE", ini.toString())));
    }
    watch(rig, operators, seen, System.nanoTime() + 13_000 * Rig.MS);
    for (Rig.GatewayProcess gateway : gateways) {
      gateway.process.destroyForcibly().waitFor();
    }
    return judge(rig, seen);
  }

  /** Asks both gateways for their tasks, as `amberpath leader list` does, 20 times a second. */
  private static void watch(Rig rig, int[] operators, List<List<Status>> seen, long until)
      throws InterruptedException {
    while (System.nanoTime() < until) {
      for (int index = 0; index < operators.length; index++) {
        long asked = System.nanoTime();
        String answer = ask(operators[index]);
        Matcher task = TASK.matcher(answer);
        if (task.find()) {
          Status status =
              new Status(
                  asked,
                  System.nanoTime(),
                  task.group(1),
                  Boolean.parseBoolean(task.group(2)),
                  Long.parseLong(task.group(3)),
                  Long.parseLong(task.group(4)));
          seen.get(index).add(status);
          rig.log(
              "g%d: sweep %s, holds %s, term %d, left_ms %d",
              index, status.state, status.holds, status.term, status.leftMillis);
        }
      }
      Thread.sleep(50);
    }
  }

  private static String ask(int port) {
    try {
      HttpURLConnection connection =
          (HttpURLConnection) URI.create("http://127.0.0.1:" + port + "/owner").toURL().openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      try (InputStream in = connection.getInputStream()) {
        return new String(in.readAllBytes(), StandardCharsets.UTF_8);
      }
    } catch (IOException e) {
      return "";
    }
  }

  /**
   * The rule: one holder at a time. It is broken where one gateway says that it holds the task
   * before and after the other one says so, with no other word between.
   */
  private static int judge(Rig rig, List<List<Status>> seen) {
    long overlaps = 0;
    double first = 0;
    double last = 0;
    for (int index = 0; index < 2; index++) {
      List<Status> own = seen.get(index);
      for (int at = 1; at < own.size(); at++) {
        if (!own.get(at - 1).holds || !own.get(at).holds) {
          continue;
        }
        for (Status other : seen.get(1 - index)) {
          if (other.holds
              && other.askedNanos > own.get(at - 1).answeredNanos
              && other.answeredNanos < own.get(at).askedNanos) {
            overlaps++;
            first = first == 0 ? rig.seconds(other.askedNanos) : first;
            last = Math.max(last, rig.seconds(other.answeredNanos));
          }
        }
      }
    }
    long held0 = seen.get(0).stream().filter(Status::holds).count();
    long held1 = seen.get(1).stream().filter(Status::holds).count();
    rig.say("g0 said %d times that it holds the task, g1 %d times", held0, held1);
    if (held0 + held1 == 0) {
      return Rig.TROUBLE ? 0 : 2;
    }
    if (overlaps > 0) {
      rig.say("both held it at once, from second %.2f to %.2f", first, last);
      return 1;
    }
    rig.say("never both at once");
    return 0;
  }
}
