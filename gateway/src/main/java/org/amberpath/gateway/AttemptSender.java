package org.amberpath.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.amberpath.gateway.cache.CacheCommand;
import org.amberpath.gateway.cache.CachePool;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.RoutingConfig;
import org.amberpath.routing.RoutingEvents.Note;
import org.amberpath.routing.RoutingEvents.Outcome;

/** Fourth stage: forwards go to the caches, and each ends once with its outcome. */
final class AttemptSender {
  private static final Logger LOG = Logger.getLogger(AttemptSender.class.getName());
  private static final String[] SWITCHES = {"join", "held", "nocopy", "renew"};

  private final Vertx vertx;
  private final Clock clock;
  private final EventLoopLagMonitor standstill;
  private final CacheEndpoints caches;
  private final ResponseWriter relay;
  private final InFlightRequests book;
  private final RoutingConfig site;
  private RoutingStage route;

  AttemptSender(
      Vertx vertx,
      Clock clock,
      EventLoopLagMonitor standstill,
      CacheEndpoints caches,
      ResponseWriter relay,
      InFlightRequests book,
      RoutingConfig site) {
    this.vertx = vertx;
    this.clock = clock;
    this.standstill = standstill;
    this.caches = caches;
    this.relay = relay;
    this.book = book;
    this.site = site;
  }

  void endingsTo(RoutingStage to) {
    route = to;
  }

  void forward(
      ClientRequest get, int cache, long until, int source, long age, int rank, int switches) {
    if (get == null) {
      return;
    }
    long now = clock.now();
    long end = until <= 0 ? get.due : Math.min(until, get.due);
    byte[] fields = fields(get, cache, source, age, rank, switches);
    Sent sent = new Sent(get, get.forwards.size(), cache, source, now, end, fields);
    get.forwards.add(sent);
    get.out++;
    if (get.answered || sent.copy >= site.maxForwards()) {
      sent.ended(Outcome.NOT_SENT, Note.NOTHING, null);
      return;
    }
    sent.timer =
        vertx.setTimer(Math.max(1, (end - now + 999_999) / 1_000_000), late -> sent.late());
    try {
      sent.pool.send(sent);
    } catch (
        RuntimeException e) { // Guards the GET against an attempt that neither goes out nor ends.
      LOG.log(Level.SEVERE, "sending failed", e);
      sent.givenUp(sent.isWritten() ? Outcome.LOST : Outcome.NOT_SENT, false);
    }
  }

  /** What was held back while news was too old goes on. */
  void again() {
    caches.again();
  }

  private byte[] fields(
      ClientRequest get, int cache, int source, long age, int rank, int switches) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(160);
    put(out, "kind=", get.asked.trafficClass().getBytes(StandardCharsets.UTF_8));
    put(out, ",obj=", get.asked.objectName());
    put(out, ",seg=", get.asked.partName());
    if (source != cache) {
      put(out, ",miss=", caches.id(source));
    }
    if (rank > 0) {
      put(out, ",prio=", Integer.toString(rank));
    }
    if (age > 0) {
      put(out, ",within=", Long.toString(Math.max(1, age / 1_000_000)));
    }
    String word = ",f=";
    for (int bit = 0; bit < SWITCHES.length; bit++) {
      if ((switches & 1 << bit) != 0) {
        put(out, word, SWITCHES[bit]);
        word = "+";
      }
    }
    if (get.asked.knownTag().length > 0) {
      put(out, ",mine=", get.asked.knownTag());
    }
    if (get.asked.idempotencyKey().length > 0) { // Caches know by it what they have run already.
      put(out, ",token=", get.asked.idempotencyKey());
    }
    return out.toByteArray();
  }

  private static void put(ByteArrayOutputStream out, String name, String value) {
    put(out, name, value.getBytes(StandardCharsets.UTF_8));
  }

  private static void put(ByteArrayOutputStream out, String name, byte[] value) {
    out.writeBytes(name.getBytes(StandardCharsets.ISO_8859_1));
    out.writeBytes(value);
  }

  /** No forward of this GET begins after that. */
  void sendBy(ClientRequest get, long time) {
    if (get != null) {
      get.sendBy = time;
    }
  }

  void callOff(ClientRequest get, int copy) {
    if (get != null && copy < get.forwards.size()) {
      get.forwards.get(copy).givenUp(Outcome.CALLED_OFF, false);
    }
  }

  /** One forward, from the decision to its one outcome. */
  final class Sent extends CacheCommand {
    final ClientRequest get;
    final int copy, cache, source;
    private final CachePool pool;
    private final long sentAt, stoodBefore, sendBy, end;
    private long timer = -1;
    private boolean ended;

    Sent(
        ClientRequest get,
        int copy,
        int cache,
        int source,
        long sentAt,
        long until,
        byte[] fields) {
      super(
          get.asked.requestId(),
          fields,
          get.asked.knownTag(),
          get.asked.body(),
          until,
          get.forwards);
      sendBy = get.sendBy;
      end = until;
      this.get = get;
      this.copy = copy;
      this.cache = cache;
      this.source = source;
      pool = caches.pool(cache);
      this.sentAt = sentAt;
      stoodBefore = standstill.soFar();
    }

    boolean isPurged(long object, int group) {
      return group == EndpointListener.EVERYTHING
          || (object != 0 ? object == get.asked.objectId() : group == get.asked.purgeGroup());
    }

    @Override
    protected boolean expectsCopy() {
      return !site.neverKept(get.ds);
    }

    @Override
    protected boolean isExpired(long now) {
      return get.answered || now > sendBy || now >= end;
    }

    private void late() {
      givenUp(isWritten() ? Outcome.NO_ANSWER : pool.unsentOutcome(), true);
    }

    private void givenUp(Outcome outcome, boolean late) {
      if (!ended) {
        try {
          pool.giveUp(this, late);
        } catch (RuntimeException e) {
          LOG.log(Level.SEVERE, "giving an attempt up failed", e);
        }
        ended(outcome, Note.NOTHING, null);
      }
    }

    /**
     * Guards the connection to the cache, and what else is open on it, against trouble at one
     * client.
     */
    private void returned(Buffer body) {
      try {
        relay.returned(get, body);
      } catch (RuntimeException e) {
        LOG.log(Level.SEVERE, "an answer was not written", e);
      }
    }

    /** The first good answer goes to the client; the decisions hear of every ending. */
    @Override
    protected void ended(Outcome outcome, Note note, Buffer body) {
      if (ended) {
        return;
      }
      ended = true;
      vertx.cancelTimer(timer);
      get.out--;
      get.heard |= outcome == Outcome.RETURNED || outcome == Outcome.NOT_STORED;
      if (outcome == Outcome.RETURNED) {
        returned(body);
      }
      // Guards caches against the blame for what this gateway read late.
      long took = Math.max(0, clock.now() - sentAt - (standstill.soFar() - stoodBefore));
      boolean settled = get.answered;
      route.arrived(get, to -> to.ended(get.id, copy, cache, outcome, took, settled, note));
      book.close(get);
    }
  }
}
