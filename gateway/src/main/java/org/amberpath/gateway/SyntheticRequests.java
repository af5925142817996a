package org.amberpath.gateway;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.amberpath.gateway.client.DecodedRequest;
import org.amberpath.routing.RecentRequests;
import org.amberpath.routing.RoutingConfig;
import org.amberpath.routing.RoutingConfig.Effect;
import org.amberpath.routing.RoutingEvents.Events;

/**
 * GETs of this gateway's own, on behalf of the fleet: made of what viewers asked for lately. They
 * take the ordinary way from {@link RoutingStage} on, and nobody is owed their answer.
 *
 * <p>Bounds: {@value #MOST} asks of viewers are kept, of {@value #LARGEST} bytes at most beside
 * their object's name; {@value #MOST_OUT} own GETs are out at a time.
 */
final class SyntheticRequests {
  private static final int MOST = 256, LARGEST = 1024, MOST_OUT = 16;

  private record Key(long object, int part) {}

  private record Asked(DecodedRequest get, int ds) {}

  private final RoutingConfig site;
  private final Clock clock;
  private final InFlightRequests book;
  private final RoutingStage route;
  private final CacheEndpoints caches;
  private final SplittableRandom chance;
  private final RecentRequests<Key, Asked> seen = new RecentRequests<>(MOST);
  private int out;

  SyntheticRequests(
      RoutingConfig site,
      Clock clock,
      InFlightRequests book,
      RoutingStage route,
      CacheEndpoints caches) {
    this.site = site;
    this.clock = clock;
    this.book = book;
    this.route = route;
    this.caches = caches;
    chance = new SplittableRandom(site.seed() ^ clock.now());
  }

  /** Keeps what a viewer asked for, if it may be asked for again. */
  void saw(ClientRequest get) {
    DecodedRequest asked = get.asked;
    if (site.effect(get.ds) == Effect.IDEMPOTENT
        && !site.neverKept(get.ds)
        && asked.body().length <= LARGEST) {
      seen.add(new Key(asked.objectId(), asked.partNumber()), new Asked(asked, get.ds));
    }
  }

  /** As {@link FleetCoordinator.Ways#own} has it. */
  boolean make(String cache, long within, Consumer<FleetCoordinator.Own> end) {
    Asked like = cache == null ? seen.next() : seen.latest();
    int index = cache == null ? -1 : caches.index(cache);
    if (like == null && cache == null) {
      seen.turn();
    }
    if (like == null || cache != null && index < 0 || out == MOST_OUT) {
      return false;
    }
    byte[] ref = String.format("%016x", chance.nextLong()).getBytes(StandardCharsets.US_ASCII);
    DecodedRequest of = like.get;
    DecodedRequest asked =
        new DecodedRequest(
            of.trafficClass(),
            ref,
            of.objectName(),
            of.partName(),
            new byte[0],
            new byte[0],
            of.body(),
            of.objectId(),
            of.partNumber(),
            of.purgeGroup(),
            within,
            of.sizeKb());
    out++;
    ClientRequest get =
        new ClientRequest(
            book.nextId(),
            asked,
            like.ds,
            clock.now() + within,
            what -> {
              out--;
              end.accept(what);
            });
    book.open(get);
    route.open(
        get,
        (Events to) ->
            to.own(
                get.id,
                get.ds,
                of.objectId(),
                of.purgeGroup(),
                of.partNumber(),
                get.due - clock.now(),
                of.sizeKb(),
                index));
    return true;
  }
}
