package org.amberpath.lab.testbed;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.amberpath.lab.EventLoopWaiter;
import org.amberpath.lab.LabSettings;
import org.amberpath.lab.LoadGenerator;
import org.amberpath.lab.StandInCache;
import org.amberpath.routing.EndpointState;

/**
 * Several gateways as real processes among stand-in caches, a hub, the origin, a journal and
 * clients that send on a schedule, with a relay on every link between two gateways. A scenario
 * calls what is public here from one thread of its own; nothing that was started outlives the rig.
 */
@SuppressWarnings("try") // Closing waits for processes; an interrupt ends the experiment.
public final class ProcessTestbed implements AutoCloseable {
  private static final long PATIENCE_S = 30,
      MS = 1_000_000,
      POLL_MS = 200,
      DROP_MS = 1500,
      ALLOW_MS = 1500;
  private static final long WOKEN = 1000 * MS;
  private static final int EDGES = 8, OBJECTS = 64;
  private static final double WEIGHT = 0.5;

  /**
   * What is to be played.
   *
   * @param gateways how many places there are for gateways
   * @param told the most that the operators say may run; 0 leaves [fleet] off
   * @param rate GETs a second to each gateway
   * @param folder where settings and logs go
   * @param more sections of the INI besides [fleet]
   */
  public record Plan(long seed, int gateways, int told, int rate, Path folder, String more) {
    public Plan(long seed, int gateways, int told, int rate, Path folder) {
      this(seed, gateways, told, rate, folder, "");
    }
  }

  /** One gateway's place: its process, its clients, and what it said last. */
  public static final class Place {
    final int index;
    final String name;
    final List<LoadGenerator> tills = new ArrayList<>();

    /** When it could answer nobody, from and to, by nanoTime. */
    final List<long[]> away = new ArrayList<>();

    GatewayProcess process;

    /** The desk's last answer, and when it came; null once the process has ended. */
    volatile JsonObject view;

    volatile long runsSince;
    private int deskPort;

    Place(int index) {
      this.index = index;
      name = "g" + index;
    }

    public String name() {
      return name;
    }

    /** Null while it does not run, or has not answered yet. */
    public JsonObject view() {
      return view;
    }

    public boolean runs() {
      return runsSince != 0;
    }

    /** When it was there last after having been away, by nanoTime. */
    public long runsSince() {
      return runsSince;
    }

    private boolean wasAway(long from, long to) {
      return away.stream().anyMatch(one -> one[0] <= to && (one[1] == 0 || from <= one[1] + WOKEN));
    }
  }

  private final Plan plan;
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Map<String, StandInCache> caches = new LinkedHashMap<>();
  private final Map<String, EndpointState> states = new LinkedHashMap<>();
  private final SplittableRandom chance;
  private final StandInJournal journal = new StandInJournal(vertx);
  private final HttpClient client =
      vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(1000));
  private final List<Place> places = new ArrayList<>();
  private final long began = System.nanoTime();
  private RuleAuditor auditor;
  private final NetworkLinks links;
  private int severe;
  private String more;

  /**
   * Of each second since the rig began: GETs that were to be sent and came back, while no gateway
   * was away.
   */
  private final long[] offered = new long[3600], came = new long[3600];

  private final Thread hook = new Thread(this::killAll, "rig");

  public ProcessTestbed(Plan plan) throws Exception {
    this.plan = plan;
    more = plan.more();
    chance = new SplittableRandom(plan.seed());
    links = new NetworkLinks(vertx, plan.gateways(), chance.nextLong());
    IntStream.range(0, plan.gateways()).forEach(one -> places.add(new Place(one)));
    Runtime.getRuntime().addShutdownHook(hook);
    List<Future<?>> opening =
        on(
            () -> {
              auditor = new RuleAuditor(vertx);
              List<Future<?>> all = new ArrayList<>(List.of(journal.listen(), links.open()));
              IntStream.range(0, EDGES).forEach(one -> all.add(cache("e" + one, 2, 8)));
              all.add(cache("h0", 2, 10));
              all.add(cache("o0", 10, 0));
              return all;
            });
    EventLoopWaiter.await(Future.all(opening));
    on(
        () -> {
          caches.keySet().forEach(id -> host(id, EndpointState.UP, 0));
          return null;
        });
    Files.writeString(plan.folder().resolve("keys"), "k1 " + "6b".repeat(32) + "\n");
  }

  private Future<?> cache(String id, long answerMs, long fillMs) {
    StandInCache cache =
        new StandInCache(vertx, id, answerMs, fillMs, caches::get).telling(auditor::wanted);
    caches.put(id, cache);
    return cache.listen();
  }

  private static String kind(String id) {
    return id.startsWith("e")
        ? LabSettings.EDGE
        : id.startsWith("h") ? LabSettings.HUB : LabSettings.ORIGIN;
  }

  private void host(String id, EndpointState state, long startedAtMs) {
    states.put(id, state);
    journal.host(
        id,
        caches.get(id).address(),
        kind(id),
        id.startsWith("e") ? WEIGHT : 10,
        state,
        startedAtMs);
  }

  /** Runs on the rig's event loop, and waits for what comes of it. */
  public <T> T on(Callable<T> what) throws Exception {
    return EventLoopWaiter.on(vertx, what);
  }

  // ---- What a scenario does.

  /**
   * Starts a gateway in each place at once, and waits until all serve; then their views are asked
   * for.
   */
  public void startAll() throws Exception {
    for (Place one : places) {
      begin(one);
    }
    for (Place one : places) {
      serve(one);
    }
    on(() -> vertx.setPeriodic(POLL_MS, tick -> places.forEach(this::poll)));
  }

  /** Starts a gateway in a place, and waits until it serves. */
  public void start(int index) throws Exception {
    begin(places.get(index));
    serve(places.get(index));
  }

  private void begin(Place one) throws IOException {
    Path config = plan.folder().resolve(one.name + ".json"),
        ini = plan.folder().resolve(one.name + ".ini");
    Files.writeString(
        config,
        LabSettings.json(one.name, plan.seed() + one.index, journal.address(), plan.gateways()));
    List<String> main = new ArrayList<>(List.of("org.amberpath.cli.Main", "serve"));
    if (plan.told() > 0) {
      write(one);
      main.addAll(List.of("--file", ini.toString()));
    }
    one.process =
        new GatewayProcess(
            main,
            Map.of("PROXY_CONFIG", config.toString()),
            plan.folder().resolve(one.name + ".log"));
  }

  private void write(Place one) throws IOException {
    Files.writeString(
        plan.folder().resolve(one.name + ".ini"),
        "[fleet]\nname = lab\nlisten = 127.0.0.1:0\nadvertise"
            + " = "
            + links.address(one.index)
            + "\nseeds = "
            + links.address(0)
            + ", "
            + links.address(1)
            + ", "
            + links.address(2)
            + "\ntold = "
            + plan.told()
            + "\nkey = "
            + plan.folder().resolve("keys")
            + "\noperators = 127.0.0.1:0\n"
            + more);
  }

  private void serve(Place one) throws Exception {
    if (plan.told() > 0) {
      int port = one.process.fleet().get(PATIENCE_S, TimeUnit.SECONDS);
      on(
          () -> {
            links.at(one.index, port);
            return null;
          });
      one.deskPort = one.process.desk().get(PATIENCE_S, TimeUnit.SECONDS);
    }
    int port = one.process.clients().get(PATIENCE_S, TimeUnit.SECONDS);
    one.runsSince = System.nanoTime();
    List<Future<?>> connecting =
        on(
            () -> {
              if (!one.away.isEmpty()) {
                one.away.get(one.away.size() - 1)[1] = System.nanoTime();
              }
              List<Future<?>> all = new ArrayList<>();
              for (String service : List.of(LabSettings.CLIPS, LabSettings.ORDERS)) {
                LoadGenerator tills =
                    new LoadGenerator(
                            vertx, service, ALLOW_MS, chance.nextLong(), got -> returned(one, got))
                        .excusing(one::wasAway)
                        .counting(sentAt -> bin(one, offered, sentAt));
                one.tills.add(tills);
                int rate =
                    service.equals(LabSettings.CLIPS) ? plan.rate() : Math.max(1, plan.rate() / 10);
                all.add(tills.start(port, 4, rate));
              }
              return all;
            });
    EventLoopWaiter.await(Future.all(connecting));
  }

  private void returned(Place one, LoadGenerator.Returned got) {
    auditor.returned(got);
    bin(one, came, got.sentAt());
  }

  private void bin(Place one, long[] bins, long sentAt) {
    if (!one.wasAway(sentAt, sentAt + ALLOW_MS * MS)) {
      bins[(int) Math.min(bins.length - 1, (sentAt - began) / (1000 * MS))]++;
    }
  }

  private void poll(Place one) {
    GatewayProcess of = one.process;
    if (plan.told() > 0 && one.runs()) {
      client
          .request(HttpMethod.GET, one.deskPort, "127.0.0.1", "/fleet")
          .compose(request -> request.send())
          .compose(answer -> answer.body())
          .onSuccess(
              body -> {
                if (one.process == of && one.runs()) {
                  one.view = body.toJsonObject().put("asked_at", System.nanoTime());
                }
              });
    }
  }

  private void gone(Place one) throws Exception {
    on(
        () -> {
          one.tills
              .subList(Math.max(0, one.tills.size() - 2), one.tills.size())
              .forEach(LoadGenerator::stop);
          one.runsSince = 0;
          one.view = null;
          one.away.add(new long[] {System.nanoTime(), 0});
          return null;
        });
  }

  /** SIGKILL. */
  public void kill(int index) throws Exception {
    Place one = places.get(index);
    gone(one);
    one.process.kill();
    end(one);
  }

  /** SIGTERM: its clients send nothing more, what they sent is owed an answer. */
  public void term(int index) throws Exception {
    Place one = places.get(index);
    on(
        () -> {
          one.tills.subList(one.tills.size() - 2, one.tills.size()).forEach(LoadGenerator::stop);
          one.runsSince = 0;
          one.view = null;
          return null;
        });
    one.process.term();
  }

  /** Waits for the end of one that was killed or told to end, and counts what its log says. */
  public void end(int index) throws Exception {
    end(places.get(index));
  }

  private void end(Place one) throws Exception {
    one.process.ended();
    severe += one.process.severe();
    on(
        () -> {
          links.at(one.index, 0);
          if (one.away.isEmpty() || one.away.get(one.away.size() - 1)[1] != 0) {
            one.away.add(new long[] {System.nanoTime(), 0});
          }
          return null;
        });
  }

  /** SIGSTOP, and SIGCONT so many milliseconds later. */
  public void stand(int index, long ms) throws Exception {
    Place one = places.get(index);
    on(
        () -> {
          long now = System.nanoTime();
          one.away.add(new long[] {now, now + ms * MS + WOKEN / 2});
          one.runsSince = now + ms * MS;
          return null;
        });
    one.process.stand(ms);
  }

  /**
   * Settings that follow those of [fleet], for all from now on: those that run are told to read
   * them again.
   */
  public void settings(String sections) throws Exception {
    more = sections;
    for (Place one : places) {
      write(one);
      if (one.process != null && one.process.isAlive()) {
        one.process.hangUp();
      }
    }
  }

  /** A cache says nothing more, or goes on. */
  public void hang(String cache, boolean still) throws Exception {
    on(
        () -> {
          caches.get(cache).hang(still);
          return null;
        });
  }

  /** How many GETs have come to a cache so far. */
  public long wants(String cache) throws Exception {
    return on(() -> caches.get(cache).wants());
  }

  /** Sets a link, one way. */
  public void link(int from, int to, NetworkLinks.Way way) throws Exception {
    on(
        () -> {
          links.way(from, to, way);
          return null;
        });
  }

  /** Sets all links. */
  public void links(NetworkLinks.Way way) throws Exception {
    on(
        () -> {
          for (int from = 0; from < places.size(); from++) {
            for (int to = 0; to < places.size(); to++) {
              links.way(from, to, way);
            }
          }
          return null;
        });
  }

  /**
   * News of caches: an edge drains, one comes back, one restarts cold, an object is purged; half of
   * them stay.
   */
  public void news() throws Exception {
    on(
        () -> {
          String id = "e" + chance.nextInt(EDGES);
          long up =
              states.entrySet().stream()
                  .filter(one -> one.getKey().startsWith("e") && one.getValue() == EndpointState.UP)
                  .count();
          switch (chance.nextInt(4)) {
            case 0 -> {
              if (states.get(id) == EndpointState.UP && up > EDGES / 2) {
                host(id, EndpointState.DRAINING, 0);
                auditor.drained(id);
              }
            }
            case 1 -> {
              if (states.get(id) == EndpointState.DRAINING) {
                auditor.ready(id);
                host(id, EndpointState.UP, 0);
              }
            }
            case 2 -> {
              if (states.get(id) == EndpointState.UP && up > EDGES / 2) {
                host(id, EndpointState.GONE, 0);
                caches.get(id).close();
                vertx.setTimer(
                    50,
                    back ->
                        caches
                            .get(id)
                            .listen()
                            .onSuccess(
                                listens -> {
                                  host(id, EndpointState.UP, System.currentTimeMillis());
                                  auditor.startedCold(id, WEIGHT);
                                }));
              }
            }
            default -> {
              String object = String.format("%016x", 1 + chance.nextInt(OBJECTS));
              long at = System.currentTimeMillis();
              journal.purge(object, at);
              auditor.purged(object, at);
              caches
                  .values()
                  .forEach(
                      cache ->
                          vertx.setTimer(1 + chance.nextLong(DROP_MS), late -> cache.drop(object)));
            }
          }
          return null;
        });
  }

  // ---- What a scenario looks at.

  /** A page of a gateway's desk; fails where it does not answer. */
  public JsonObject page(int index, String path) throws Exception {
    // On the loop: elsewhere an answer may come before anybody listens to it.
    return EventLoopWaiter.await(
            on(
                () ->
                    client
                        .request(HttpMethod.GET, places.get(index).deskPort, "127.0.0.1", path)
                        .compose(request -> request.send())
                        .compose(answer -> answer.body())))
        .toJsonObject();
  }

  public List<Place> places() {
    return places;
  }

  public RuleAuditor auditor() {
    return auditor;
  }

  public NetworkLinks links() {
    return links;
  }

  /** Lines of the worst kind in all logs, of those that have ended. */
  public int severe() {
    return severe;
  }

  /**
   * GETs returned of those that were to be sent, from one time to another (nanoTime), of gateways
   * that were there.
   */
  public double served(long from, long to) throws Exception {
    return on(
        () -> {
          long of = 0, back = 0;
          for (long second = (from - began) / (1000 * MS) + 1;
              second < (to - began) / (1000 * MS);
              second++) {
            of += offered[(int) second];
            back += came[(int) second];
          }
          return of == 0 ? 1 : (double) back / of;
        });
  }

  /**
   * Clients send nothing more, and all that is open is waited for; then how GETs ended, by name,
   * over all gateways.
   */
  public Map<String, Long> settle() throws Exception {
    on(
        () -> {
          places.forEach(one -> one.tills.forEach(LoadGenerator::stop));
          return null;
        });
    Thread.sleep(ALLOW_MS + 2 * POLL_MS);
    return on(
        () -> {
          Map<String, Long> ends = new LinkedHashMap<>();
          for (LoadGenerator.End end : LoadGenerator.End.values()) {
            ends.put(end.name().toLowerCase(java.util.Locale.ROOT), 0L);
          }
          ends.put("excused", 0L);
          ends.put("unsent", 0L);
          for (Place place : places) {
            for (LoadGenerator tills : place.tills) {
              for (LoadGenerator.End end : LoadGenerator.End.values()) {
                ends.merge(
                    end.name().toLowerCase(java.util.Locale.ROOT), tills.ended(end), Long::sum);
              }
              ends.merge("excused", tills.excused(), Long::sum);
              ends.merge("unsent", tills.unsent(), Long::sum);
            }
          }
          return ends;
        });
  }

  private void killAll() {
    places.stream().filter(one -> one.process != null).forEach(one -> one.process.kill());
  }

  @Override
  public void close() throws Exception {
    for (Place one : places) {
      if (one.process != null && one.process.isAlive()) {
        one.process.term();
      }
    }
    for (Place one : places) {
      if (one.process != null) {
        one.process.ended();
      }
    }
    Runtime.getRuntime().removeShutdownHook(hook);
    EventLoopWaiter.await(vertx.close());
  }
}
