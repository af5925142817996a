package amberpath;

import amberpath.Arrivals.Listing;
import amberpath.Arrivals.Note;
import amberpath.Arrivals.Outcome;
import amberpath.Arrivals.State;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A host for one gateway: tells it of a small site, plays events to it and writes down what it decides. */
final class FakeHost implements Site, Decisions {
  static final long MS = 1_000_000L;

  record Sent(long get, int copy, int cache, long until, int source, long age, int rank, int switches) {
    boolean has(int wanted) {
      return (switches & wanted) != 0;
    }
  }

  Effect effect = Effect.IDEMPOTENT;
  Group group = Group.ALL;
  long fresh = 0;
  boolean bypass = false;
  boolean sized = true;
  int gateways = 1;
  String coldKind = "box";
  int seed = 7;
  final List<Sent> sent = new ArrayList<>();
  final List<Long> shed = new ArrayList<>();
  final List<Long> errored = new ArrayList<>();
  final List<String> calledOff = new ArrayList<>();
  long now = 1_000_000 * MS;
  private Control control;
  private final List<Consumer<Arrivals.Events>> events = new ArrayList<>();
  private long wakeAt = Long.MAX_VALUE;

  /** Caches 0 to 3 in the own zone, 4 in another, parents 5 and 6, origin 7, in the given order. */
  FakeHost list(int... order) {
    events.add(to -> to.listing(Listing.FULL));
    for (int cache : order) {
      events.add(to -> member(to, cache, State.UP, 0));
    }
    events.add(Arrivals.Events::listed);
    return this;
  }

  FakeHost list() {
    return list(0, 1, 2, 3, 4, 5, 6, 7).round();
  }

  FakeHost change(int cache, State state, long startedAt) {
    events.add(to -> to.listing(Listing.CHANGES));
    events.add(to -> member(to, cache, state, startedAt));
    events.add(Arrivals.Events::listed);
    return round();
  }

  private void member(Arrivals.Events to, int cache, State state, long startedAt) {
    String kind = cache == 7 ? "origin" : cache > 4 ? "parent" : cache == 0 ? coldKind : "box";
    String zone = cache > 4 ? "hub" : cache == 4 ? "other" : "here";
    to.member(cache, "10.0.0." + cache + ":90", zone, kind, cache % 2, state, 4, startedAt);
  }

  /** A GET with two seconds left; the answer is the forward that was sent for it, or null. */
  Sent get(long id, long object, int part) {
    events.add(to -> to.get(id, 0, object, 9, part, 2000 * MS, 100, false));
    round();
    return last(id);
  }

  Sent last(long id) {
    return sent.stream().filter(one -> one.get == id).reduce((a, b) -> b).orElse(null);
  }

  FakeHost ended(Sent one, Outcome outcome, long tookMs, Note note) {
    boolean settled = outcome == Outcome.RETURNED;
    events.add(to -> to.ended(one.get, one.copy, one.cache, outcome, tookMs * MS, settled, note));
    return round();
  }

  FakeHost returned(Sent one, long tookMs, Note note) {
    return ended(one, Outcome.RETURNED, tookMs, note);
  }

  FakeHost event(Consumer<Arrivals.Events> event) {
    events.add(event);
    return round();
  }

  /** Lets time pass, waking the gateway when it asked to be woken. */
  FakeHost pass(long ms) {
    long until = now + ms * MS;
    while (wakeAt <= until) {
      now = wakeAt;
      wakeAt = Long.MAX_VALUE;
      event(to -> to.woken("sweep"));
    }
    now = until;
    return this;
  }

  FakeHost round() {
    control = control == null ? new Control(this) : control;
    control.round(now, to -> events.forEach(event -> event.accept(to)), this);
    events.clear();
    return this;
  }

  @Override public void forward(long get, int cache, long until, int source, long age, int rank, int switches) {
    int copy = (int) sent.stream().filter(one -> one.get == get).count();
    sent.add(new Sent(get, copy, cache, until, source, age, rank, switches));
  }

  @Override public void shed(long get, long wait) {
    shed.add(get);
  }

  @Override public void errored(long get) {
    errored.add(get);
  }

  @Override public void callOff(long get, int copy) {
    calledOff.add(get + "/" + copy);
  }

  @Override public void wake(long delay, String handle) {
    wakeAt = now + delay;
  }

  @Override public void watchList() {
  }

  @Override public long seed() { return seed; }
  @Override public int gateways() { return 3 * gateways; }
  @Override public int gatewaysHere() { return gateways; }
  @Override public String zone() { return "here"; }
  @Override public String midKind() { return "parent"; }
  @Override public String originKind() { return "origin"; }
  @Override public boolean weighsSizes() { return sized; }
  @Override public boolean listOnRequest() { return false; }
  @Override public int deliveryServices() { return 1; }
  @Override public Effect effect(int ds) { return effect; }
  @Override public Group group(int ds) { return group; }
  @Override public long window(int ds) { return 1000 * MS; }
  @Override public long latencyObjective(int ds) { return 300 * MS; }
  @Override public double stretch(int ds) { return 2; }
  @Override public double revenue(int ds) { return 1; }
  @Override public boolean neverKept(int ds) { return false; }
  @Override public long fresh(int ds) { return fresh; }
  @Override public long grace(int ds) { return fresh; }
  @Override public int maxForwards() { return 4; }
  @Override public boolean secondCopies() { return true; }
  @Override public boolean callOff() { return true; }
  @Override public boolean retryAfter() { return true; }
  @Override public long maxRetryAfter() { return 500 * MS; }
  @Override public boolean bypass() { return bypass; }
  @Override public boolean joins() { return true; }
  @Override public double flowKbPerSecond() { return 1000; }
  @Override public long purgeTakes() { return 6000 * MS; }
  @Override public double coldShare() { return 0.1; }
  @Override public long coldTime() { return 10_000 * MS; }
  @Override public double fallMultiple() { return 3; }
  @Override public long fallTime() { return 1000 * MS; }
  @Override public double parentColdShare() { return 0.1; }
  @Override public long parentColdTime() { return 10_000 * MS; }
  @Override public double parentFallMultiple() { return 2; }
}
