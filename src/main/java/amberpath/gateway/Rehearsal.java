package amberpath.gateway;

import amberpath.Arrivals.Events;
import amberpath.Arrivals.Listing;
import amberpath.Arrivals.Note;
import amberpath.Arrivals.Outcome;
import amberpath.Arrivals.State;
import amberpath.Control;
import amberpath.Decisions;
import amberpath.Site;

/** GETs that nobody asked for, played into decisions that go nowhere: the first real ones find warm code. */
final class Rehearsal implements Decisions {
  private static final int GETS = 400;
  private static final long LONGEST = 200_000_000, APART = 5_000_000, TOOK = 50_000_000;

  private final Control control;
  private final Site site;
  private int cache;

  private Rehearsal(Site site) {
    this.site = site;
    control = new Control(site);
  }

  static void play(Site site) {
    new Rehearsal(site).play(System.nanoTime());
  }

  private void play(long start) {
    control.round(start, this::list, this);
    long now = start;
    for (int number = 1; number <= GETS && System.nanoTime() - start < LONGEST; number++) {
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
