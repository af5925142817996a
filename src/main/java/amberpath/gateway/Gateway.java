package amberpath.gateway;

import amberpath.Control;
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
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/** One gateway, from start to exit. All of it runs on one event loop. */
public final class Gateway {
  /** The phases, in order. Clients are let in by the front only while it is SERVING. */
  public enum Phase { NEW, STARTING, SERVING, DRAINING, STOPPED }

  private static final Logger LOG = Logger.getLogger(Gateway.class.getName());
  /** How long connections and requests come after the word to stop, and when the kill may come. */
  private static final long STILL_COMING_MS = 750, LAST_ANSWERS_MS = 3500, CHECK_MS = 20, FLUSH_MS = 100,
      SWEEP_MS = 1000;

  private final Vertx vertx;
  private final Context context;
  private final GatewayOptions options;
  private final Clock clock = new Clock();
  private final Book book = new Book();
  private final Promise<Void> stopped = Promise.promise();
  private final Caches caches;
  private final Relay relay;
  private final Route route;
  private final TakeIn takeIn;
  private final JournalClient journal;
  private final Entries entries = new Entries();
  private NetServer server;
  private long sweeper = -1;
  private volatile Phase phase = Phase.NEW;

  public Gateway(Vertx vertx, GatewayOptions options) {
    this(vertx, options, new Control(options.site())::round);
  }

  Gateway(Vertx vertx, GatewayOptions options, Route.Rounds decisions) {
    this.vertx = vertx;
    context = vertx.getOrCreateContext();
    this.options = options;
    relay = new Relay(vertx, book);
    caches = new Caches(vertx, options, clock);
    Send send = new Send(vertx, clock, caches, relay, book, options.site().maxForwards());
    route = new Route(vertx, clock, decisions, book, send, relay);
    send.endingsTo(route);
    caches.newsTo(route);
    Admit admit = new Admit(options.site(), options.mostOpen(), book, route);
    takeIn = new TakeIn(clock, book, admit, route, relay, () -> phase == Phase.SERVING && caches.told());
    journal = new JournalClient(vertx, options.journal(), entries, caches, JournalClient.WAIT_MS);
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
        entries.play(options.known(), caches);
      } catch (Fields.Malformed e) {
        started.fail(e);
        return;
      }
      server = vertx.createNetServer(new NetServerOptions().setAcceptBacklog(1024));
      Unread queues = new Unread(options.unreadOfOne(), options.unreadOfAll());
      server.connectHandler(socket -> new ClientConnection(socket, queues, takeIn));
      server.listen(options.listen()).onComplete(listening -> {
        if (listening.failed()) {
          started.fail(new IOException("PROXY_LISTEN: can't listen at " + options.listen() + ": "
              + listening.cause().getMessage(), listening.cause()));
          return;
        }
        if (phase != Phase.STARTING) {
          server.close();
          return;
        }
        journal.start();
        sweeper = vertx.setPeriodic(SWEEP_MS, sweep -> caches.sweep());
        enter(Phase.SERVING);
        LOG.info(options.name() + ": listens at " + options.listen().hostAddress() + ":" + port());
        started.complete(this);
      });
    });
    return started.future();
  }

  public int port() {
    return server.actualPort();
  }

  /** Answers what still comes and all that was taken, then lets go of everything. */
  public Future<Void> stop() {
    context.runOnContext(loop -> {
      if (phase.compareTo(Phase.SERVING) < 0) {
        close();
      } else if (phase == Phase.SERVING) {
        enter(Phase.DRAINING);
        long since = clock.now();
        vertx.setPeriodic(CHECK_MS, timer -> {
          long passed = (clock.now() - since) / 1_000_000;
          if (passed > LAST_ANSWERS_MS) {
            book.allUnanswered().forEach(get -> {
              relay.errored(get, "stopping");
              route.arrived(get, to -> to.left(get.id));
            });
          }
          if (passed > STILL_COMING_MS && book.unanswered() == 0) {
            vertx.cancelTimer(timer);
            vertx.setTimer(CHECK_MS, flushed -> close());
          }
        });
      }
    });
    return stopped.future();
  }

  private void close() {
    enter(Phase.STOPPED);
    vertx.cancelTimer(sweeper);
    journal.close();
    caches.close();
    // A client that does not read keeps nobody waiting.
    (server == null ? Future.<Void>succeededFuture() : server.close()).timeout(FLUSH_MS, TimeUnit.MILLISECONDS)
        .onComplete(closed -> stopped.complete());
  }
}
