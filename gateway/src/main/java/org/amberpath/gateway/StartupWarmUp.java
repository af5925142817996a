package org.amberpath.gateway;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.logging.Logger;
import org.amberpath.gateway.cache.ReplyWarmUp;
import org.amberpath.gateway.client.RequestWarmUp;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.RoutingActions;
import org.amberpath.routing.RoutingConfig;
import org.amberpath.routing.RoutingEvents.Events;
import org.amberpath.routing.RoutingEvents.Listing;
import org.amberpath.routing.RoutingEvents.Note;
import org.amberpath.routing.RoutingEvents.Outcome;
import org.amberpath.routing.RoutingEvents.State;

/**
 * GETs that nobody asked for, before clients are let in: the first real ones find warm code. Guards
 * against a gateway that, short of CPU, answers late while its code is cold and takes its own
 * lateness for that of the caches.
 */
final class StartupWarmUp implements RoutingActions {
  private static final int BATCHES = 75, BATCH = 20, ASKED = 100;
  private static final long LONGEST = 1_000_000_000,
      LONGEST_ASKED_MS = 250,
      APART = 5_000_000,
      TOOK = 50_000_000;
  private static final Logger LOG = Logger.getLogger(StartupWarmUp.class.getName());

  private final Vertx vertx;
  private final RoutingConfig site;
  private final RequestRouter router;
  private final Promise<Void> done = Promise.promise();
  private final long start = System.nanoTime();
  private long now = start;
  private int cache, round, asked;

  StartupWarmUp(Vertx vertx, RoutingConfig site) {
    this.vertx = vertx;
    this.site = site;
    router = new RequestRouter(site);
  }

  /**
   * Before anything listens: decisions and codecs. Nothing else runs by now, so the loop may be
   * held.
   */
  void play() {
    router.round(now, this::list, this);
    for (int batch = 0; batch < BATCHES && System.nanoTime() - start < LONGEST; batch++) {
      for (int in = 0; in < BATCH; in++) {
        decide(++round);
      }
      RequestWarmUp.play(BATCH);
      ReplyWarmUp.play(BATCH);
    }
  }

  /**
   * Then sockets, on a connection to this gateway's own address; no failure of it keeps the gateway
   * from serving.
   */
  Future<Void> play(SocketAddress own) {
    NetClient client = vertx.createNetClient();
    client
        .connect(own)
        .onComplete(
            up -> {
              if (up.failed()) {
                done.tryComplete();
              } else {
                up.result()
                    .handler(answer -> ask(up.result()))
                    .closeHandler(closed -> done.tryComplete());
                ask(up.result());
              }
            });
    vertx.setTimer(LONGEST_ASKED_MS, late -> done.tryComplete());
    return done.future()
        .onComplete(
            end -> {
              client.close();
              LOG.info(
                  "rehearsed "
                      + round
                      + " GETs in "
                      + (System.nanoTime() - start) / 1_000_000
                      + " ms");
            });
  }

  private void ask(NetSocket self) {
    if (++asked > ASKED) {
      done.tryComplete();
    } else if (!done.future().isComplete()) {
      self.write(RequestWarmUp.statusRequest());
    }
  }

  private void decide(int number) {
    long id = number;
    int ds = number % site.deliveryServices();
    Note note = number % 3 == 0 ? Note.FILLED : Note.HIT;
    now += APART;
    router.round(
        now, to -> to.get(id, ds, id % 40 + 1, 0, (int) (id % 9), 40 * TOOK, 100, false), this);
    router.round(
        now + APART / 2,
        to -> {
          to.woken("sweep");
          to.ended(id, 0, cache, Outcome.RETURNED, TOOK, true, note);
        },
        this);
  }

  private void list(Events to) {
    to.listing(Listing.FULL);
    for (int member = 0; member < 8; member++) {
      to.member(member, "m" + member, site.zone(), "m", 0, State.UP, 1, 0);
    }
    if (site.midKind() != null) {
      to.member(8, "m8", site.zone(), site.midKind(), 0, State.UP, 1, 0);
    }
    to.listed();
  }

  @Override
  public void forward(long get, int to, long until, int source, long age, int rank, int switches) {
    cache = to;
  }

  @Override
  public void shed(long get, long wait) {}

  @Override
  public void errored(long get) {}

  @Override
  public void callOff(long get, int copy) {}

  @Override
  public void wake(long delay, String handle) {}

  @Override
  public void watchList() {}
}
