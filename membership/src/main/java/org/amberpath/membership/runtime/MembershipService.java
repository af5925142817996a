package org.amberpath.membership.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import org.amberpath.gateway.Clock;
import org.amberpath.gateway.FleetCallbacks;
import org.amberpath.gateway.FleetCoordinator;
import org.amberpath.gateway.GatewayOptions;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.ReplayFilter;
import org.amberpath.membership.SwimProtocol;
import org.amberpath.membership.SwimTimings;
import org.amberpath.routing.EndpointHealthStatus;

/**
 * Carries out what a {@link SwimProtocol} says: datagrams on the gateway's loop, the view's news in
 * the log, this gateway's part of shared bounds to the decisions.
 *
 * <p>Bounds: what {@link ReplayFilter} lets be looked at; {@value #MOST_LINES} log lines a second.
 */
public final class MembershipService implements FleetCoordinator, SwimProtocol.Out {
  private static final Logger LOG = Logger.getLogger(MembershipService.class.getName());
  private static final int TICKS = 5, MOST_LINES = 5;
  private static final long MS = 1_000_000, SECOND = 1000 * MS;

  /** What became of datagrams, counted for the operators. */
  enum Count {
    SENT,
    NOT_SENT,
    TAKEN,
    GREETED,
    REPEATED,
    TOO_MANY,
    UNREADABLE,
    OTHER_VERSION,
    OTHER_FLEET,
    OTHER_KEY,
    FORGED
  }

  private final Vertx vertx;
  private final MembershipSettings access;
  private final GatewayOptions options;
  private final FleetCallbacks callbacks;
  private final SwimTimings rules;
  private final DatagramCodec form;
  private final AdminEndpoint desk;
  private final FleetMessageHandler guest;
  private final Clock clock = new Clock();
  private final Map<Count, Long> counts = new EnumMap<>(Count.class);
  private HmacKeyring keys;
  private SwimProtocol view;
  private ReplayFilter door;
  private DatagramSocket socket;
  private Future<Void> lastSent = Future.succeededFuture();
  private long timer = -1, linesSince, unsaid;
  private int lines, told;
  private double part = -1;

  /** The company of one gateway, which must have a name that fits into a datagram. */
  public MembershipService(
      Vertx vertx,
      MembershipSettings access,
      GatewayOptions options,
      FleetCallbacks callbacks,
      FleetMessageHandler.Maker guests) {
    this.vertx = vertx;
    this.access = access;
    this.options = options;
    this.callbacks = callbacks;
    rules =
        SwimTimings.every(
            access.told() == 0 ? Math.max(1, options.site().gateways()) : access.told(),
            access.period());
    form = new DatagramCodec(access.fleet(), rules.rumours());
    guest = guests == null ? null : guests.make(vertx, this);
    desk = access.operators() == null ? null : new AdminEndpoint(vertx, this, guest);
    for (Count one : Count.values()) {
      counts.put(one, 0L);
    }
  }

  @Override
  public Future<Void> start() {
    if (!options.name().matches(DatagramCodec.NAME)) {
      return Future.failedFuture(
          "PROXY_NAME: with [fleet] 1 to 32 letters, digits, ._- and not " + options.name());
    }
    return vertx
        .executeBlocking(() -> HmacKeyring.read(access.key()))
        .compose(
            read -> {
              keys = read;
              socket = vertx.createDatagramSocket();
              return socket.listen(access.listen().port(), access.listen().hostAddress());
            })
        .compose(
            up -> {
              String own = access.listen().hostAddress() + ":" + up.localAddress().port();
              begin(access.advertised() == null ? own : text(access.advertised()), own);
              return desk == null ? Future.succeededFuture() : desk.listen(access.operators());
            })
        .recover(
            e ->
                Future.failedFuture(
                    new IOException(
                        e instanceof HmacKeyring.Faulty ? e.getMessage() : "[fleet]: " + e, e)));
  }

  private static String text(SocketAddress address) {
    return address.hostAddress() + ":" + address.port();
  }

  private void begin(String address, String own) {
    long now = clock.now(), birth = new SecureRandom().nextLong();
    MemberUpdate self =
        new MemberUpdate(
            options.name(), address, now / SECOND, birth, MemberStatus.ALIVE, options.name());
    door = new ReplayFilter(birth, rules.period(), now);
    view =
        new SwimProtocol(
            rules,
            self,
            access.seeds().stream().map(MembershipService::text).toList(),
            options.site().seed() ^ birth,
            now,
            this);
    LOG.info(
        options.name()
            + ": fleet "
            + access.fleet()
            + ", key "
            + keys.first()
            + ": hears at "
            + own
            + ", told as "
            + address
            + ", at most "
            + rules.told()
            + " gateways");
    socket.handler(packet -> come(packet.data()));
    socket.exceptionHandler(e -> add(Count.NOT_SENT));
    timer =
        vertx.setPeriodic(
            Math.max(1, rules.period() / TICKS / MS),
            tick -> {
              view.tick(clock.now());
              share();
              if (guest != null) {
                guest.tick(clock.now());
              }
              if (clock.now() - linesSince > SECOND) {
                linesSince = clock.now();
                lines = 0;
                if (unsaid > 0) {
                  LOG.info(options.name() + ": fleet: " + unsaid + " changes more");
                  unsaid = 0;
                }
              }
            });
    share();
    if (guest != null) {
      guest.begin(now);
    }
  }

  private void come(Buffer data) {
    long now = clock.now();
    if (!door.mayLook(now)) {
      add(Count.TOO_MANY);
      return;
    }
    DatagramCodec.Read read = form.read(data.getBytes(), keys);
    if (read.fault() != null) {
      add(Count.valueOf(read.fault().name()));
      return;
    }
    GossipMessage message = read.message();
    DatagramCodec.Letter letter = read.letter();
    ReplayFilter.Verdict verdict =
        letter == null
            ? door.judge(now, message)
            : door.judge(now, letter.from().birth(), letter.to(), letter.serial());
    add(Count.valueOf(verdict.name()));
    if (verdict == ReplayFilter.Verdict.GREETED) {
      view.greet(now, letter == null ? message.from() : letter.from());
    } else if (verdict == ReplayFilter.Verdict.TAKEN && letter == null) {
      view.received(now, message);
    } else if (verdict == ReplayFilter.Verdict.TAKEN && guest != null) {
      guest.letter(now, letter.from().name(), letter.body());
    }
    share();
  }

  /**
   * Sends a letter to a gateway that is there; whether it is. It may be lost on the way, as any
   * datagram.
   */
  public boolean post(String to, byte[] body) {
    MemberUpdate peer = view.find(to);
    if (peer != null && body.length <= DatagramCodec.LONGEST_LETTER) {
      send(
          peer.address(),
          form.write(
              new DatagramCodec.Letter(view.self(), peer.birth(), view.stamp(), body), keys));
    }
    return peer != null;
  }

  /** For chance: another in each process. */
  public long seed() {
    return options.site().seed() ^ view.self().birth();
  }

  /** This gateway's name. */
  public String name() {
    return options.name();
  }

  /** All that are there, by name. */
  public List<String> there() {
    return view.there();
  }

  /** What a guest may tell the gateway's decisions, and ask of it. */
  public FleetCallbacks callbacks() {
    return callbacks;
  }

  /** Unix nanoseconds that only go forward. */
  public long now() {
    return clock.now();
  }

  private void add(Count what) {
    counts.merge(what, 1L, Long::sum);
  }

  /** Tells the decisions once it is another. */
  private void share() {
    if (view.counted() != told || view.share() != part) {
      told = view.counted();
      part = view.share();
      say(
          options.name()
              + ": fleet: "
              + (part > 0 ? "one part of " + told : "no part yet of what " + told + " share"));
      callbacks.quotaShareChanged(told, part);
    }
  }

  private void say(String line) {
    if (++lines <= MOST_LINES) {
      LOG.info(line);
    } else {
      unsaid++;
    }
  }

  @Override
  public void send(String address, GossipMessage message) {
    send(address, form.write(message, keys));
  }

  private void send(String address, byte[] bytes) {
    int colon = address.lastIndexOf(':');
    lastSent =
        socket.send(
            Buffer.buffer(bytes),
            Integer.parseInt(address.substring(colon + 1)),
            address.substring(0, colon));
    lastSent.onComplete(done -> add(done.succeeded() ? Count.SENT : Count.NOT_SENT));
  }

  @Override
  public void news(String name, MemberStatus standing) {
    say(options.name() + ": fleet: " + name + " " + standing);
  }

  @Override
  public void phase(SwimProtocol.Phase from, SwimProtocol.Phase to) {
    say(options.name() + ": fleet: " + from + " -> " + to);
  }

  @Override
  public void twin(String address) {
    LOG.warning(options.name() + ": fleet: another process goes by this name at " + address);
  }

  @Override
  public void endpointHealthChanged(String cache, EndpointHealthStatus health) {
    if (guest != null && timer >= 0) {
      guest.health(clock.now(), cache, health);
    }
  }

  @Override
  public void endpointWarmingUp(String cache, long until) {
    if (guest != null && timer >= 0) {
      guest.cold(clock.now(), cache, until);
    }
  }

  @Override
  public void beginDraining() {
    if (guest != null && timer >= 0) {
      guest.draining(clock.now());
    }
  }

  /** Keys may have been changed; a file that can't be read leaves those that hold. */
  @Override
  public void reload() {
    if (guest != null && timer >= 0) {
      guest.renewed();
    }
    vertx
        .executeBlocking(() -> HmacKeyring.read(access.key()))
        .onSuccess(
            read -> {
              keys = read;
              LOG.info(options.name() + ": fleet: signs by key " + keys.first());
            })
        .onFailure(e -> LOG.warning(options.name() + ": fleet: the keys stay: " + e.getMessage()));
  }

  @Override
  public Future<Void> close() {
    if (desk != null) {
      desk.close();
    }
    if (timer < 0) {
      return Future.succeededFuture();
    }
    vertx.cancelTimer(timer);
    if (guest != null) {
      guest.leave(clock.now());
    }
    view.leave(clock.now());
    return lastSent.eventually(socket::close).otherwiseEmpty();
  }

  // ---- For the operators.

  /** Null until it has begun. */
  SwimProtocol view() {
    return view;
  }

  Map<Count, Long> counts() {
    return counts;
  }

  SwimTimings rules() {
    return rules;
  }

  String fleet() {
    return access.fleet();
  }
}
