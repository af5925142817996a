package org.amberpath.gateway;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.amberpath.routing.DiscoveryFreshness;
import org.amberpath.routing.RoutingActions;
import org.amberpath.routing.RoutingEvents;
import org.amberpath.routing.RoutingEvents.Events;
import org.amberpath.routing.SocketReads;

/**
 * Third stage: what a turn of the loop brought is one round of the decisions, carried out at once.
 * While news of caches and purges may be too old to decide by, rounds wait, for no longer than
 * {@link DiscoveryFreshness} says; news goes first in each.
 */
final class RoutingStage implements RoutingActions, RoutingEvents {
  private static final Logger LOG = Logger.getLogger(RoutingStage.class.getName());
  private static final long BACKSTOP_MS = 25;

  /** What one round takes at most, as much as one client may have open. */
  private static final int MOST = 32;

  /** The decisions: one call a round. */
  interface Rounds {
    void round(long now, RoutingEvents in, RoutingActions to);
  }

  private record Arrival(ClientRequest get, Consumer<Events> event) {}

  private final Vertx vertx;
  private final Clock clock;
  private final Rounds decisions;
  private final DiscoveryFreshness age;
  private final SocketReads reads;
  private final InFlightRequests book;
  private final AttemptSender send;
  private final ResponseWriter relay;

  /**
   * Bounded by the open GETs, their forwards and timers, and by the length of a reply of the
   * journal.
   */
  private List<Arrival> news = new ArrayList<>(), arrivals = new ArrayList<>();

  private List<Arrival> round = List.of();
  private boolean due, reading, held;
  private int replayed;
  private Told told;

  RoutingStage(
      Vertx vertx,
      Clock clock,
      Rounds decisions,
      DiscoveryFreshness age,
      SocketReads reads,
      InFlightRequests book,
      AttemptSender send,
      ResponseWriter relay) {
    this.vertx = vertx;
    this.clock = clock;
    this.decisions = decisions;
    this.age = age;
    this.reads = reads;
    this.book = book;
    this.send = send;
    this.relay = relay;
  }

  /** What the decisions say of caches, beside what is to be done with GETs. */
  interface Told {
    void health(int cache, Health health);

    void cold(int cache, long until);
  }

  /** Hears that from now on. */
  void tellOf(Told of) {
    told = of;
  }

  void get(ClientRequest get) {
    open(
        get,
        to ->
            to.get(
                get.id,
                get.ds,
                get.asked.objectId(),
                get.asked.purgeGroup(),
                get.asked.partNumber(),
                get.due - clock.now(),
                get.asked.sizeKb(),
                false));
  }

  /**
   * A GET goes to the decisions, as the event says, and has its answer by its time at the latest.
   */
  void open(ClientRequest get, Consumer<Events> event) {
    long left = get.due - clock.now();
    get.backstop =
        vertx.setTimer(
            Math.max(1, left / 1_000_000) + BACKSTOP_MS,
            late -> {
              relay.errored(get, "late");
              arrived(get, to -> to.left(get.id));
            });
    arrived(get, event);
  }

  /** Takes an event into this turn's round; get is the one that it belongs to, if any. */
  void arrived(ClientRequest get, Consumer<Events> event) {
    arrivals.add(new Arrival(get, event));
    if (get != null) {
      get.events++;
    }
    soon();
  }

  /**
   * The same for news of caches and purges. Guards against GETs that came with it and would be
   * decided without it.
   */
  void told(Consumer<Events> event) {
    news.add(new Arrival(null, event));
    soon();
  }

  /**
   * Whether a forward may be written now; one that may not is taken up again before the next round.
   */
  boolean mayWrite() {
    boolean may = decides();
    if (!may) {
      held = true;
      soon();
    }
    return may;
  }

  /**
   * Whether what is known of caches, purges and clients is young enough to decide and to write by.
   */
  private boolean decides() {
    long now = clock.now();
    return age.decides(now) && reads.isFresh(now);
  }

  private void soon() {
    if (!due) {
      due = true;
      vertx.runOnContext(turn -> round());
    }
  }

  /** The journal has replied or failed: what waited for that need not any more. */
  void heard() {
    if (due) {
      vertx.runOnContext(turn -> round());
    }
  }

  /**
   * Reads the sockets before the next round. Guards against decisions by what was read before the
   * loop stood still.
   */
  private void readFirst() {
    if (!reading && !age.owed()) {
      reading = true;
      long by = clock.now();
      vertx.setTimer(
          1,
          read -> { // A timer set now comes after the loop has read once more.
            reading = false;
            age.read(by);
            reads.read(by);
            round();
          });
    }
  }

  private void round() {
    if (!due) {
      return;
    }
    List<Arrival> ready = new ArrayList<>(), rest = new ArrayList<>();
    for (Arrival arrival : arrivals) {
      (ready.size() < MOST && isSettled(arrival.get) ? ready : rest).add(arrival);
    }
    if (!decides() || ready.isEmpty() && !rest.isEmpty() && news.isEmpty() && !held) {
      readFirst();
      return;
    }
    due = false;
    arrivals = rest;
    sendHeld();
    news.addAll(ready);
    round = news;
    news = new ArrayList<>();
    if (!arrivals
        .isEmpty()) { // Guards those who have left meanwhile: the loop reads before it decides on
      // more.
      due = true;
      readFirst();
    }
    replayed = 0;
    try {
      decisions.round(clock.now(), this, this);
    } catch (RuntimeException | StackOverflowError | AssertionError e) {
      LOG.log(Level.SEVERE, "a round failed", e);
      while (replayed < round.size()) {
        Arrival arrival = round.get(replayed++);
        failed(arrival.get);
        replayed(arrival.get);
      }
    }
  }

  /**
   * Whether a GET's connection was read on where the loop was late: guards against a close behind a
   * pipeline.
   */
  private boolean isSettled(ClientRequest get) {
    if (get != null && get.backlog != null && !get.settled) {
      get.settled = get.answered || reads.isSettled(get.takenAt, book.lastTaken(get.client));
      return get.settled;
    }
    return true;
  }

  private void sendHeld() {
    if (held) {
      held = false;
      try {
        send.again();
      } catch (
          RuntimeException
              e) { // Guards what has come meanwhile against a failure of what was held back.
        LOG.log(Level.SEVERE, "sending what was held back failed", e);
      }
    }
  }

  /**
   * Ends a GET on which the decisions failed, unless an attempt of it is out, whose end or time
   * ends it.
   */
  private void failed(ClientRequest get) {
    if (get != null && get.out == 0 && !get.answered) {
      relay.errored(get, "internal error");
      arrived(get, to -> to.left(get.id));
    }
  }

  /** The decisions have heard of one event more, or never will. */
  private void replayed(ClientRequest get) {
    if (get != null) {
      get.events--;
      book.close(get);
    }
  }

  /** A failure in the decisions on one GET ends that GET and no other. */
  @Override
  public void replay(Events to) {
    while (replayed < round.size()) {
      Arrival arrival = round.get(replayed++);
      try {
        arrival.event.accept(to);
      } catch (RuntimeException | StackOverflowError | AssertionError e) {
        LOG.log(Level.SEVERE, "the decisions failed", e);
        failed(arrival.get);
      } finally {
        replayed(arrival.get);
      }
    }
  }

  @Override
  public void forward(
      long get, int cache, long until, int source, long age, int rank, int switches) {
    send.forward(book.get(get), cache, until, source, age, rank, switches);
  }

  @Override
  public void sendBy(long get, long time) {
    send.sendBy(book.get(get), time);
  }

  @Override
  public void shed(long get, long wait) {
    relay.shed(book.get(get), wait);
  }

  @Override
  public void errored(long get) {
    relay.errored(book.get(get), "not returned");
  }

  @Override
  public void callOff(long get, int copy) {
    send.callOff(book.get(get), copy);
  }

  @Override
  public void wake(long delay, String handle) {
    vertx.setTimer(Math.max(1, delay / 1_000_000), due -> arrived(null, to -> to.woken(handle)));
  }

  @Override
  public void health(int cache, Health health) {
    if (told != null) {
      told.health(cache, health);
    }
  }

  @Override
  public void cold(int cache, long until) {
    if (told != null) {
      told.cold(cache, until);
    }
  }

  /** The journal is always followed. */
  @Override
  public void watchList() {}
}
