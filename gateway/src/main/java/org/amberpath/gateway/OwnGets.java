package org.amberpath.gateway;

import org.amberpath.routing.Arrivals.Events;
import org.amberpath.routing.Recent;
import org.amberpath.routing.Site;
import org.amberpath.routing.Site.Effect;
import org.amberpath.gateway.client.ClientGet;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/**
 * GETs of this gateway's own, on behalf of the fleet: made of what viewers asked for lately. They take the ordinary way
 * from {@link Route} on, and nobody is owed their answer.
 *
 * <p>Bounds: {@value #MOST} asks of viewers are kept, of {@value #LARGEST} bytes at most beside their object's name;
 * {@value #MOST_OUT} own GETs are out at a time.
 */
final class OwnGets {
  private static final int MOST = 256, LARGEST = 1024, MOST_OUT = 16;

  private record Key(long object, int part) {
  }

  private record Asked(ClientGet get, int ds) {
  }

  private final Site site;
  private final Clock clock;
  private final Book book;
  private final Route route;
  private final Caches caches;
  private final SplittableRandom chance;
  private final Recent<Key, Asked> seen = new Recent<>(MOST);
  private int out;

  OwnGets(Site site, Clock clock, Book book, Route route, Caches caches) {
    this.site = site;
    this.clock = clock;
    this.book = book;
    this.route = route;
    this.caches = caches;
    chance = new SplittableRandom(site.seed() ^ clock.now());
  }

  /** Keeps what a viewer asked for, if it may be asked for again. */
  void saw(OpenGet get) {
    ClientGet asked = get.asked;
    if (site.effect(get.ds) == Effect.IDEMPOTENT && !site.neverKept(get.ds) && asked.body().length <= LARGEST) {
      seen.add(new Key(asked.objectId(), asked.partNumber()), new Asked(asked, get.ds));
    }
  }

  /** As {@link Company.Ways#own} has it. */
  boolean make(String cache, long within, Consumer<Company.Own> end) {
    Asked like = cache == null ? seen.next() : seen.latest();
    int index = cache == null ? -1 : caches.index(cache);
    if (like == null && cache == null) {
      seen.turn();
    }
    if (like == null || cache != null && index < 0 || out == MOST_OUT) {
      return false;
    }
    byte[] ref = String.format("%016x", chance.nextLong()).getBytes(StandardCharsets.US_ASCII);
    ClientGet of = like.get;
    ClientGet asked = new ClientGet(of.service(), ref, of.object(), of.part(), new byte[0], new byte[0], of.body(),
        of.objectId(), of.partNumber(), of.group(), within, of.kb());
    out++;
    OpenGet get = new OpenGet(book.nextId(), asked, like.ds, clock.now() + within, what -> {
      out--;
      end.accept(what);
    });
    book.open(get);
    route.open(get, (Events to) -> to.own(get.id, get.ds, of.objectId(), of.group(), of.partNumber(),
        get.due - clock.now(), of.kb(), index));
    return true;
  }
}
