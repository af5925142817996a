package org.amberpath.gateway;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Logger;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.WriteBufferAccounting;
import org.amberpath.gateway.discovery.JournalClient;
import org.amberpath.gateway.discovery.JournalDecoder;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.routing.DiscoveryFreshness;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.LoadShedder;
import org.amberpath.routing.MergedEndpointLists;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.RoutingActions;
import org.amberpath.routing.RoutingConfig;
import org.amberpath.routing.SocketReads;

/** One gateway, from start to exit. All of it runs on one event loop. */
public final class Gateway {
  /** The phases, in order. Clients are let in by the front only while it is SERVING. */
  public enum Phase {
    NEW,
    STARTING,
    SERVING,
    DRAINING,
    STOPPED
  }

  private static final Logger LOG = Logger.getLogger(Gateway.class.getName());
  private static final long SWEEP_MS = 250, STILL_OWED_MS = 5;

  /**
   * How often a shutdown looks what is due; and how long the loop reads once more before it stops
   * to.
   */
  private static final long SHUTDOWN_CHECK_MILLIS = 10, LAST_READ_MILLIS = 1;

  /** How long the sockets' close is waited for at most. */
  private static final long CLOSE_NANOS = 100_000_000;

  /** How often, and how far apart, a configuration is read that can't be read. */
  private static final int READINGS = 5;

  private static final long READ_AGAIN_MS = 200;

  /**
   * Accepted beside the clients' bound, out of what is kept for the runtime: without a place for a
   * newcomer none of least use would ever go for it, which takes 2 ms; with few of them a crowd is
   * long in the accept queue.
   */
  private static final int NEWCOMERS = 12;

  private final Vertx vertx;
  private final Context context;
  private final GatewayOptions options;
  private final Clock clock;
  private final InFlightRequests book = new InFlightRequests();
  private final Promise<Void> stopped = Promise.promise();
  private final ProtocolErrorLog complaints = new ProtocolErrorLog();
  private final DiscoveryFreshness age;
  private final EventLoopLagMonitor standstill;
  private final ClientConnections clients;
  private final CacheEndpoints caches;
  private final ResponseWriter relay;
  private final RoutingStage route;
  private final RequestReceiver takeIn;

  /** Null where another source tells of caches in its place. */
  private final JournalClient journal;

  private final EndpointListener journalNews;
  private final EndpointSource news;
  private final FleetCoordinator company;
  private final JournalDecoder entries;
  private NetServer server;
  private long sweeper = -1, watch = -1;
  private volatile Phase phase = Phase.NEW;

  public Gateway(Vertx vertx, GatewayOptions options) {
    this(vertx, options, GatewayExtensions.NOTHING);
  }

  /**
   * A gateway that hears of caches from another source too, or only from there if its options name
   * no journal.
   */
  public Gateway(Vertx vertx, GatewayOptions options, GatewayExtensions beside) {
    this(vertx, options, beside, new RequestRouter(options.site())::round);
  }

  Gateway(
      Vertx vertx,
      GatewayOptions options,
      GatewayExtensions beside,
      RoutingStage.Rounds decisions) {
    this(vertx, options, beside, decisions, new Clock());
  }

  Gateway(
      Vertx vertx,
      GatewayOptions options,
      GatewayExtensions beside,
      RoutingStage.Rounds decisions,
      Clock clock) {
    EndpointSource.Maker source = beside.news();
    this.vertx = vertx;
    context = vertx.getOrCreateContext();
    this.options = options;
    this.clock = clock;
    entries = new JournalDecoder(clock);
    age = new DiscoveryFreshness(options.newsGrace(), options.journal() != null, clock.now());
    RoutingConfig site = options.site();
    LoadShedder pace = new LoadShedder(site.seed(), site.retryAfter() ? site.maxRetryAfter() : 0);
    SocketReads reads = new SocketReads(clock.now());
    standstill = new EventLoopLagMonitor(clock, age, reads, pace);
    relay = new ResponseWriter(vertx, book);
    clients = new ClientConnections(vertx, options.mostClients(), clock);
    caches = new CacheEndpoints(vertx, options, clock, complaints);
    AttemptSender send =
        new AttemptSender(vertx, clock, standstill, caches, relay, book, options.site());
    route = new RoutingStage(vertx, clock, decisions, age, reads, book, send, relay);
    send.endingsTo(route);
    caches.newsTo(route);
    AdmissionControl admit = new AdmissionControl(options.site(), options.mostOpen(), book, route);
    takeIn =
        new RequestReceiver(
            clock,
            standstill,
            book,
            admit,
            route,
            relay,
            clients,
            complaints,
            pace,
            () -> phase == Phase.SERVING && caches.told());
    MergedEndpointLists both = new MergedEndpointLists(caches);
    EndpointListener sourceNews =
        source == null || options.journal() == null ? caches : both.port();
    journalNews = source == null ? caches : both.port();
    news = source == null ? null : source.make(vertx, sourceNews, options.site().seed());
    journal =
        options.journal() == null
            ? null
            : new JournalClient(
                vertx,
                options.journal(),
                new JournalClient.Bounds(JournalClient.MAX_WAIT_MILLIS, options.unreadOfAll()),
                new JournalClient.Sinks(entries, journalNews, age, route::heard),
                clock::now);
    company = beside.company() == null ? null : accompanied(beside.company(), admit);
  }

  private FleetCoordinator accompanied(FleetCoordinator.Maker maker, AdmissionControl admit) {
    SyntheticRequests own = new SyntheticRequests(options.site(), clock, book, route, caches);
    admit.showTo(own);
    FleetCoordinator made =
        maker.make(
            vertx,
            options,
            new FleetCoordinator.Ways() {
              @Override
              public void shared(int many, double part) {
                route.told(to -> to.sharers(many, part));
              }

              @Override
              public void tried(boolean forAll) {
                route.told(to -> to.tried(forAll));
              }

              @Override
              public void vouched(String cache, boolean answers, long ago) {
                long heard = clock.now();
                route.told(
                    to -> {
                      int index = caches.index(cache);
                      if (index >= 0) {
                        to.vouched(index, answers, ago + clock.now() - heard);
                      }
                    });
              }

              @Override
              public boolean own(String cache, long within, Consumer<FleetCoordinator.Own> end) {
                return phase == Phase.SERVING && own.make(cache, within, end);
              }
            });
    route.tellOf(
        new RoutingStage.Told() {
          @Override
          public void health(int cache, RoutingActions.Health health) {
            made.health(caches.id(cache), health);
          }

          @Override
          public void cold(int cache, long until) {
            made.cold(caches.id(cache), until);
          }
        });
    return made;
  }

  private void enter(Phase next) {
    LOG.info(options.name() + ": " + phase + " -> " + next);
    phase = next;
  }

  public Phase phase() {
    return phase;
  }

  /** Plays what is known into the decisions, then listens. What fails it has a plain message. */
  public Future<Gateway> start() {
    Promise<Gateway> started = Promise.promise();
    context.runOnContext(
        loop -> {
          enter(Phase.STARTING);
          try {
            if (journal != null) {
              entries.playKnown(options.known(), journalNews);
            }
          } catch (InvalidDocumentException e) {
            started.fail(e);
            return;
          }
          StartupWarmUp rehearsal = new StartupWarmUp(vertx, options.site());
          rehearsal.play();
          if (company != null) {
            company.start().onFailure(started::tryFail);
          }
          server = vertx.createNetServer(new NetServerOptions().setAcceptBacklog(1024));
          WriteBufferAccounting queues =
              new WriteBufferAccounting(options.unreadOfOne(), options.unreadOfAll());
          server.connectHandler(
              socket -> {
                ClientConnection client = new ClientConnection(socket, queues, clock::now, takeIn);
                standstill.accepted(client, AcceptLimit.queuedNanos(socket));
                clients.add(client);
              });
          SingleEventLoopTransport.limitNext(
              vertx, new AcceptLimit(options.mostClients() + NEWCOMERS, clock::now));
          server
              .listen(options.listen())
              .onComplete(
                  listening -> {
                    if (listening.failed()) {
                      started.tryFail(
                          new IOException(
                              "PROXY_LISTEN: can't listen at "
                                  + options.listen()
                                  + ": "
                                  + listening.cause().getMessage(),
                              listening.cause()));
                      return;
                    }
                    if (phase != Phase.STARTING) {
                      server.close();
                      return;
                    }
                    if (journal != null) {
                      journal.start();
                    }
                    if (news != null) {
                      news.start();
                    }
                    watch = standstill.watch(vertx);
                    sweeper = vertx.setPeriodic(SWEEP_MS, sweep -> sweep());
                    rehearsal
                        .play(
                            SocketAddress.inetSocketAddress(port(), options.listen().hostAddress()))
                        .onComplete(warm -> serve(started));
                  });
        });
    return started.future();
  }

  /** Guards against clients that are let in before what came since the start is known. */
  private void serve(Promise<Gateway> started) {
    if (phase == Phase.STARTING && age.owed()) {
      vertx.setTimer(STILL_OWED_MS, later -> serve(started));
    } else if (phase == Phase.STARTING) {
      enter(Phase.SERVING);
      LOG.info(options.name() + ": listens at " + options.listen().hostAddress() + ":" + port());
      started.tryComplete(this);
    }
  }

  private void sweep() {
    clients.sweep();
    caches.sweep();
    complaints.sweep();
  }

  /**
   * Takes what may change while it runs: the journal's address, and what is known there by now. The
   * rest stays as it was told at start. What can't be read changes nothing.
   *
   * @param read reads the configuration anew; it is called off the event loop
   */
  public Future<Void> reload(Supplier<GatewayOptions> read) {
    Promise<Void> taken = Promise.promise();
    context.runOnContext(
        loop ->
            readAnew(read, READINGS)
                .onSuccess(
                    next -> {
                      if (phase == Phase.NEW || phase == Phase.STOPPED) {
                        return;
                      }
                      if (news != null) {
                        news.renewed();
                      }
                      if (company != null) {
                        company.renewed();
                      }
                      if (journal != null) {
                        entries.playKnown(next.known(), journalNews);
                        journal.moveTo(next.journal());
                        LOG.info(options.name() + ": the journal is asked at " + next.journal());
                      }
                    })
                .<Void>mapEmpty()
                .onFailure(e -> LOG.warning("SIGHUP: nothing changes: " + e.getMessage()))
                .onComplete(taken));
    return taken.future();
  }

  /**
   * Guards against a file that is replaced just now, and against descriptors that are short for a
   * moment.
   */
  private Future<GatewayOptions> readAnew(Supplier<GatewayOptions> read, int times) {
    return context
        .executeBlocking(read::get)
        .recover(
            e ->
                times <= 1 || phase == Phase.STOPPED
                    ? Future.failedFuture(e)
                    : vertx
                        .timer(READ_AGAIN_MS, TimeUnit.MILLISECONDS)
                        .compose(later -> readAnew(read, times - 1)));
  }

  /** How much is held, for those who watch over it: GETs, caches, clients' connections. */
  int held() {
    return book.size() + caches.size() + clients.size();
  }

  /** The event loop that all of it runs on. */
  Context context() {
    return context;
  }

  public int port() {
    return server.actualPort();
  }

  /**
   * Answers what still comes and all that was taken, then lets go of everything; all before the
   * kill may come.
   */
  public Future<Void> stop() {
    // Guards against a loop that is late: the time runs from the word to stop, not from when the
    // loop gets to it.
    ShutdownSchedule schedule = new ShutdownSchedule(clock.now(), options.longestDeadline());
    context.runOnContext(
        loop -> {
          if (phase == Phase.NEW || server == null) {
            close(schedule);
          } else if (phase.compareTo(Phase.SERVING)
              <= 0) { // Also a start that listens may have taken GETs.
            enter(Phase.DRAINING);
            if (company != null) {
              company.draining();
            }
            vertx.setPeriodic(SHUTDOWN_CHECK_MILLIS, timer -> shutDown(schedule, timer));
          }
        });
    return stopped.future();
  }

  /** Does what is due of a shutdown by now. */
  private void shutDown(ShutdownSchedule schedule, long timer) {
    if (schedule.rejects(clock.now())) {
      clients.reject();
    }
    answerAll(schedule);
    if (schedule.exits(clock.now(), clients.allWritten(), clients.size() == 0)) {
      vertx.cancelTimer(timer);
      endClients(schedule);
      close(schedule);
    } else if (!clients.ended() && schedule.halfCloses(clock.now(), owesNothing())) {
      // Guards requests that came while the loop stood still: a timer set now comes after it has
      // read once more.
      vertx.setTimer(LAST_READ_MILLIS, read -> endClients(schedule));
    }
  }

  /** Gives what is open the last answer that there is time for, if it is time for that. */
  private void answerAll(ShutdownSchedule schedule) {
    if (schedule.answersAll(clock.now())) {
      book.allUnanswered()
          .forEach(
              get -> {
                relay.errored(get, "stopping");
                route.arrived(get, to -> to.left(get.id));
              });
    }
  }

  /**
   * Whether all that was read has its answer. Half a GET is waited for, while a client may still
   * send the rest.
   */
  private boolean owesNothing() {
    return book.unanswered() == 0 && !clients.midway();
  }

  /**
   * Reads nothing more from anyone, if that is still due: the loop may have read another request
   * meanwhile.
   */
  private void endClients(ShutdownSchedule schedule) {
    answerAll(schedule); // Guards the rest of a request that came in that last read.
    if (!clients.ended() && schedule.halfCloses(clock.now(), owesNothing())) {
      clients.end();
      schedule.halfClosed(clock.now());
    }
  }

  private void close(ShutdownSchedule schedule) {
    enter(Phase.STOPPED);
    vertx.cancelTimer(sweeper);
    vertx.cancelTimer(watch);
    if (journal != null) {
      journal.close();
    }
    if (news != null) {
      news.close();
    }
    caches.close();
    Future<Void> left = company == null ? Future.succeededFuture() : company.close();
    // A client that does not read keeps nobody waiting.
    Future.join(left, server == null ? Future.succeededFuture() : server.close())
        .timeout(Math.min(CLOSE_NANOS, schedule.timeLeft(clock.now())), TimeUnit.NANOSECONDS)
        .onComplete(closed -> stopped.complete());
  }
}
