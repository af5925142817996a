package amberpath.gateway;

import amberpath.Decisions;
import amberpath.Membership;
import amberpath.NewsAge;
import amberpath.Pace;
import amberpath.RequestRouter;
import amberpath.Site;
import amberpath.Strictest;
import amberpath.journal.Entries;
import amberpath.journal.JournalClient;
import amberpath.json.Fields;
import amberpath.msgpack.ClientConnection;
import amberpath.msgpack.Unread;
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

/** One gateway, from start to exit. All of it runs on one event loop. */
public final class Gateway {
  /** The phases, in order. Clients are let in by the front only while it is SERVING. */
  public enum Phase { NEW, STARTING, SERVING, DRAINING, STOPPED }

  private static final Logger LOG = Logger.getLogger(Gateway.class.getName());
  /** How long connections and requests come after the word to stop. */
  private static final long STILL_COMING_MS = 750, CHECK_MS = 20, FLUSH_MS = 100, SWEEP_MS = 250, STILL_OWED_MS = 5;
  /** How long clients may take to close after all is answered; only so long where the kill may come soon after. */
  private static final long ENDING_MS = 350, ENDING_LATE_MS = 80;
  /** How often, and how far apart, a configuration is read that can't be read. */
  private static final int READINGS = 5;
  private static final long READ_AGAIN_MS = 200;

  private final Vertx vertx;
  private final Context context;
  private final GatewayOptions options;
  private final Clock clock = new Clock();
  private final Book book = new Book();
  private final Promise<Void> stopped = Promise.promise();
  private final Complaints complaints = new Complaints();
  private final NewsAge age;
  private final Standstill standstill;
  private final Clients clients;
  private final Caches caches;
  private final Relay relay;
  private final Route route;
  private final TakeIn takeIn;
  /** Null where another source tells of caches in its place. */
  private final JournalClient journal;
  private final Membership journalNews;
  private final NewsSource news;
  private final Company company;
  private final Entries entries = new Entries();
  private NetServer server;
  private long sweeper = -1, watch = -1;
  private volatile Phase phase = Phase.NEW;

  public Gateway(Vertx vertx, GatewayOptions options) {
    this(vertx, options, Beside.NOTHING);
  }

  /** A gateway that hears of caches from another source too, or only from there if its options name no journal. */
  public Gateway(Vertx vertx, GatewayOptions options, Beside beside) {
    this(vertx, options, beside, new RequestRouter(options.site())::round);
  }

  Gateway(Vertx vertx, GatewayOptions options, Beside beside, Route.Rounds decisions) {
    NewsSource.Maker source = beside.news();
    this.vertx = vertx;
    context = vertx.getOrCreateContext();
    this.options = options;
    age = new NewsAge(options.newsGrace(), options.journal() != null, clock.now());
    Site site = options.site();
    Pace pace = new Pace(site.seed(), site.retryAfter() ? site.maxRetryAfter() : 0);
    standstill = new Standstill(clock, age, pace);
    relay = new Relay(vertx, book);
    clients = new Clients(vertx, options.mostClients(), clock);
    caches = new Caches(vertx, options, clock, complaints);
    Send send = new Send(vertx, clock, standstill, caches, relay, book, options.site());
    route = new Route(vertx, clock, decisions, age, book, send, relay);
    send.endingsTo(route);
    caches.newsTo(route);
    Admit admit = new Admit(options.site(), options.mostOpen(), book, route);
    takeIn = new TakeIn(clock, standstill, book, admit, route, relay, clients, complaints, pace,
        () -> phase == Phase.SERVING && caches.told());
    Strictest both = new Strictest(caches);
    Membership sourceNews = source == null || options.journal() == null ? caches : both.port();
    journalNews = source == null ? caches : both.port();
    news = source == null ? null : source.make(vertx, sourceNews, options.site().seed());
    journal = options.journal() == null ? null : new JournalClient(vertx, options.journal(), entries, journalNews,
        JournalClient.WAIT_MS, options.unreadOfAll(), age, clock::now, route::heard);
    company = beside.company() == null ? null : accompanied(beside.company(), admit);
  }

  private Company accompanied(Company.Maker maker, Admit admit) {
    OwnGets own = new OwnGets(options.site(), clock, book, route, caches);
    admit.showTo(own);
    Company made = maker.make(vertx, options, new Company.Ways() {
      @Override public void shared(int many, double part) {
        route.told(to -> to.sharers(many, part));
      }

      @Override public void tried(boolean forAll) {
        route.told(to -> to.tried(forAll));
      }

      @Override public void vouched(String cache, boolean answers, long ago) {
        long heard = clock.now();
        route.told(to -> {
          int index = caches.index(cache);
          if (index >= 0) {
            to.vouched(index, answers, ago + clock.now() - heard);
          }
        });
      }

      @Override public boolean own(String cache, long within, Consumer<Company.Own> end) {
        return phase == Phase.SERVING && own.make(cache, within, end);
      }
    });
    route.tellOf(new Route.Told() {
      @Override public void health(int cache, Decisions.Health health) {
        made.health(caches.id(cache), health);
      }

      @Override public void cold(int cache, long until) {
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
    context.runOnContext(loop -> {
      enter(Phase.STARTING);
      try {
        if (journal != null) {
          entries.play(options.known(), journalNews);
        }
      } catch (Fields.Malformed e) {
        started.fail(e);
        return;
      }
      Rehearsal rehearsal = new Rehearsal(vertx, options.site());
      rehearsal.play();
      if (company != null) {
        company.start().onFailure(started::tryFail);
      }
      server = vertx.createNetServer(new NetServerOptions().setAcceptBacklog(1024));
      Unread queues = new Unread(options.unreadOfOne(), options.unreadOfAll());
      server.connectHandler(socket -> clients.add(new ClientConnection(socket, queues, clock::now, takeIn)));
      server.listen(options.listen()).onComplete(listening -> {
        if (listening.failed()) {
          started.tryFail(new IOException("PROXY_LISTEN: can't listen at " + options.listen() + ": "
              + listening.cause().getMessage(), listening.cause()));
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
        rehearsal.play(SocketAddress.inetSocketAddress(port(), options.listen().hostAddress()))
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
   * Takes what may change while it runs: the journal's address, and what is known there by now. The rest stays as it
   * was told at start. What can't be read changes nothing.
   *
   * @param read reads the configuration anew; it is called off the event loop
   */
  public Future<Void> reload(Supplier<GatewayOptions> read) {
    Promise<Void> taken = Promise.promise();
    context.runOnContext(loop -> readAnew(read, READINGS).onSuccess(next -> {
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
        entries.play(next.known(), journalNews);
        journal.moveTo(next.journal());
        LOG.info(options.name() + ": the journal is asked at " + next.journal());
      }
    }).<Void>mapEmpty().onFailure(e -> LOG.warning("SIGHUP: nothing changes: " + e.getMessage())).onComplete(taken));
    return taken.future();
  }

  /** Guards against a file that is replaced just now, and against descriptors that are short for a moment. */
  private Future<GatewayOptions> readAnew(Supplier<GatewayOptions> read, int times) {
    return context.executeBlocking(read::get).recover(e -> times <= 1 || phase == Phase.STOPPED
        ? Future.failedFuture(e) : vertx.timer(READ_AGAIN_MS, TimeUnit.MILLISECONDS)
            .compose(later -> readAnew(read, times - 1)));
  }

  /** How much is held, for those who watch over it: GETs, caches, clients' connections. */
  int held() {
    return book.size() + caches.size() + clients.size();
  }

  public int port() {
    return server.actualPort();
  }

  /** Answers what still comes and all that was taken, then lets go of everything. */
  public Future<Void> stop() {
    context.runOnContext(loop -> {
      if (phase == Phase.NEW || server == null) {
        close();
      } else if (phase.compareTo(Phase.SERVING) <= 0) { // Also a start that listens may have taken GETs.
        enter(Phase.DRAINING);
        if (company != null) {
          company.draining();
        }
        long since = clock.now(), last = options.lastAnswers() / 1_000_000;
        vertx.setPeriodic(CHECK_MS, timer -> {
          long passed = (clock.now() - since) / 1_000_000;
          if (passed > last) {
            book.allUnanswered().forEach(get -> {
              relay.errored(get, "stopping");
              route.arrived(get, to -> to.left(get.id));
            });
          }
          // Half a GET is waited for as long as a client may take to send the rest of it.
          if (passed > STILL_COMING_MS && book.unanswered() == 0 && (passed > last || !clients.midway())) {
            vertx.cancelTimer(timer);
            endClients(clock.now() + (passed > last ? ENDING_LATE_MS : ENDING_MS) * 1_000_000);
          }
        });
      }
    });
    return stopped.future();
  }

  /** Takes nothing more from anyone, and goes once all clients have read what they were answered. */
  private void endClients(long by) {
    clients.end();
    vertx.setPeriodic(CHECK_MS, timer -> {
      if (clients.size() == 0 || clock.now() > by) {
        vertx.cancelTimer(timer);
        close();
      }
    });
  }

  private void close() {
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
        .timeout(FLUSH_MS, TimeUnit.MILLISECONDS)
        .onComplete(closed -> stopped.complete());
  }
}
