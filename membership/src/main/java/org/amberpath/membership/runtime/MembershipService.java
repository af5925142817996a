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
public final class MembershipService implements FleetCoordinator, SwimProtocol.Output {
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
  private final SwimTimings timings;
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
      FleetMessageHandler.Factory guests) {
    this.vertx = vertx;
    this.access = access;
    this.options = options;
    this.callbacks = callbacks;
    timings =
        SwimTimings.withProbeInterval(
            access.maxMembers() == 0
                ? Math.max(1, options.routingConfig().gateways())
                : access.maxMembers(),
            access.probeIntervalNanos());
    form = new DatagramCodec(access.fleet(), timings.maxUpdatesPerMessage());
    guest = guests == null ? null : guests.create(vertx, this);
    desk = access.adminAddress() == null ? null : new AdminEndpoint(vertx, this, guest);
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
        .executeBlocking(() -> HmacKeyring.read(access.keyFile()))
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
              return desk == null ? Future.succeededFuture() : desk.listen(access.adminAddress());
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
    long now = clock.nowNanos(), birth = new SecureRandom().nextLong();
    MemberUpdate self =
        new MemberUpdate(
            options.name(), address, now / SECOND, birth, MemberStatus.ALIVE, options.name());
    door = new ReplayFilter(birth, timings.probeIntervalNanos(), now);
    view =
        new SwimProtocol(
            timings,
            self,
            access.seeds().stream().map(MembershipService::text).toList(),
            options.routingConfig().seed() ^ birth,
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
            + timings.maxMembers()
            + " gateways");
    socket.handler(packet -> come(packet.data()));
    socket.exceptionHandler(e -> add(Count.NOT_SENT));
    timer =
        vertx.setPeriodic(
            Math.max(1, timings.probeIntervalNanos() / TICKS / MS),
            tick -> {
              view.tick(clock.nowNanos());
              share();
              if (guest != null) {
                guest.tick(clock.nowNanos());
              }
              if (clock.nowNanos() - linesSince > SECOND) {
                linesSince = clock.nowNanos();
                lines = 0;
                if (unsaid > 0) {
                  LOG.info(options.name() + ": fleet: " + unsaid + " changes more");
                  unsaid = 0;
                }
              }
            });
    share();
    if (guest != null) {
      guest.membershipStarted(now);
    }
  }

  private void come(Buffer data) {
    long now = clock.nowNanos();
    if (!door.tryExamine(now)) {
      add(Count.TOO_MANY);
      return;
    }
    DatagramCodec.DecodedDatagram read = form.decode(data.getBytes(), keys);
    if (read.fault() != null) {
      add(Count.valueOf(read.fault().name()));
      return;
    }
    GossipMessage message = read.message();
    DatagramCodec.UserMessage letter = read.letter();
    ReplayFilter.Verdict verdict =
        letter == null
            ? door.check(now, message)
            : door.check(now, letter.from().instanceId(), letter.to(), letter.serial());
    add(Count.valueOf(verdict.name()));
    if (verdict == ReplayFilter.Verdict.GREETED) {
      view.greet(now, letter == null ? message.sender() : letter.from());
    } else if (verdict == ReplayFilter.Verdict.TAKEN && letter == null) {
      view.messageReceived(now, message);
    } else if (verdict == ReplayFilter.Verdict.TAKEN && guest != null) {
      guest.messageReceived(now, letter.from().name(), letter.body());
    }
    share();
  }

  /**
   * Sends a letter to a gateway that is there; whether it is. It may be lost on the way, as any
   * datagram.
   */
  public boolean sendMessage(String to, byte[] body) {
    MemberUpdate peer = view.find(to);
    if (peer != null && body.length <= DatagramCodec.MAX_PAYLOAD_BYTES) {
      send(
          peer.address(),
          form.encode(
              new DatagramCodec.UserMessage(
                  view.self(), peer.instanceId(), view.nextSequenceNumber(), body),
              keys));
    }
    return peer != null;
  }

  /** For chance: another in each process. */
  public long seed() {
    return options.routingConfig().seed() ^ view.self().instanceId();
  }

  /** This gateway's name. */
  public String name() {
    return options.name();
  }

  /** All that are there, by name. */
  public List<String> presentNames() {
    return view.presentNames();
  }

  /** What a guest may tell the gateway's decisions, and ask of it. */
  public FleetCallbacks callbacks() {
    return callbacks;
  }

  /** Unix nanoseconds that only go forward. */
  public long nowNanos() {
    return clock.nowNanos();
  }

  private void add(Count what) {
    counts.merge(what, 1L, Long::sum);
  }

  /** Tells the decisions once it is another. */
  private void share() {
    if (view.countedMembers() != told || view.quotaShare() != part) {
      told = view.countedMembers();
      part = view.quotaShare();
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
    send(address, form.encode(message, keys));
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
  public void memberStatusChanged(String name, MemberStatus standing) {
    say(options.name() + ": fleet: " + name + " " + standing);
  }

  @Override
  public void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {
    say(options.name() + ": fleet: " + from + " -> " + to);
  }

  @Override
  public void nameConflictDetected(String address) {
    LOG.warning(options.name() + ": fleet: another process goes by this name at " + address);
  }

  @Override
  public void endpointHealthChanged(String cache, EndpointHealthStatus health) {
    if (guest != null && timer >= 0) {
      guest.endpointHealthChanged(clock.nowNanos(), cache, health);
    }
  }

  @Override
  public void endpointWarmingUp(String cache, long until) {
    if (guest != null && timer >= 0) {
      guest.endpointWarmingUp(clock.nowNanos(), cache, until);
    }
  }

  @Override
  public void beginDraining() {
    if (guest != null && timer >= 0) {
      guest.drainStarted(clock.nowNanos());
    }
  }

  /** Keys may have been changed; a file that can't be read leaves those that hold. */
  @Override
  public void reload() {
    if (guest != null && timer >= 0) {
      guest.settingsReloaded();
    }
    vertx
        .executeBlocking(() -> HmacKeyring.read(access.keyFile()))
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
      guest.close(clock.nowNanos());
    }
    view.leave(clock.nowNanos());
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

  SwimTimings timings() {
    return timings;
  }

  String fleet() {
    return access.fleet();
  }
}
