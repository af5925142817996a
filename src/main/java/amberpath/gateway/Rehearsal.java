package amberpath.gateway;

import amberpath.Arrivals.Events;
import amberpath.Arrivals.Listing;
import amberpath.Arrivals.Note;
import amberpath.Arrivals.Outcome;
import amberpath.Arrivals.State;
import amberpath.Control;
import amberpath.Decisions;
import amberpath.Site;
import amberpath.msgpack.RequestRehearsal;
import amberpath.resp.ReplyRehearsal;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.logging.Logger;

/**
 * GETs that nobody asked for, before clients are let in: the first real ones find warm code. Guards against a gateway
 * that, short of CPU, answers late while its code is cold and takes its own lateness for that of the caches.
 */
final class Rehearsal implements Decisions {
  private static final int ROUNDS = 1500, BATCH = 20;
  private static final long LONGEST = 1_200_000_000, APART = 5_000_000, TOOK = 50_000_000;

  private static final Logger LOG = Logger.getLogger(Rehearsal.class.getName());

  private final Vertx vertx;
  private final Site site;
  private final SocketAddress own;
  private final Control control;
  private final Promise<Void> done = Promise.promise();
  private final long start = System.nanoTime();
  private long now = start;
  private int cache, round;

  Rehearsal(Vertx vertx, Site site, SocketAddress own) {
    this.vertx = vertx;
    this.site = site;
    this.own = own;
    control = new Control(site);
  }

  /** Plays on a connection to this gateway's own address; no failure of it keeps the gateway from serving. */
  Future<Void> play() {
    control.round(now, this::list, this);
    NetClient client = vertx.createNetClient();
    client.connect(own).onComplete(up -> {
      if (up.failed()) {
        done.tryComplete();
      } else {
        up.result().handler(answer -> next(up.result())).closeHandler(closed -> done.tryComplete());
        next(up.result());
      }
    });
    vertx.setTimer(LONGEST / 1_000_000, late -> done.tryComplete());
    return done.future().onComplete(end -> {
      client.close();
      LOG.info("rehearsed " + round + " GETs in " + (System.nanoTime() - start) / 1_000_000 + " ms");
    });
  }

  private void next(NetSocket self) {
    if (done.future().isComplete()) {
      return;
    }
    if (round >= ROUNDS || System.nanoTime() - start > LONGEST) {
      done.tryComplete();
      return;
    }
    for (int in = 0; in < BATCH; in++) {
      decide(++round);
    }
    RequestRehearsal.play(BATCH);
    ReplyRehearsal.play(BATCH);
    self.write(RequestRehearsal.status());
  }

  private void decide(int number) {
    long id = number;
    int ds = number % site.deliveryServices();
    Note note = number % 3 == 0 ? Note.FILLED : Note.HIT;
    now += APART;
    control.round(now, to -> to.get(id, ds, id % 40 + 1, 0, (int) (id % 9), 40 * TOOK, 100, false), this);
    control.round(now + APART / 2, to -> {
      to.woken("sweep");
      to.ended(id, 0, cache, Outcome.RETURNED, TOOK, true, note);
    }, this);
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

  @Override public void forward(long get, int to, long until, int source, long age, int rank, int switches) {
    cache = to;
  }

  @Override public void shed(long get, long wait) {
  }

  @Override public void errored(long get) {
  }

  @Override public void callOff(long get, int copy) {
  }

  @Override public void wake(long delay, String handle) {
  }

  @Override public void watchList() {
  }
}
