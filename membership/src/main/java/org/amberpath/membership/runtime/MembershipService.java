package org.amberpath.membership.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import org.amberpath.gateway.FleetCoordinator;
import org.amberpath.gateway.GatewayOptions;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.gateway.pipeline.FleetCallbacks;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.ReplayFilter;
import org.amberpath.membership.SwimProtocol;
import org.amberpath.membership.SwimTimings;
import org.amberpath.routing.EndpointHealthStatus;

/**
 * Runs a {@link SwimProtocol} on the gateway's event loop: datagrams and ticks to it, its messages
 * to the socket, its changes to the log, this gateway's share of fleet-wide limits to the router.
 *
 * <p>All methods are called on the event loop. Bounds: those of {@link ReplayFilter} on what is
 * received, those of {@link MembershipLog} on log lines.
 */
public final class MembershipService implements FleetCoordinator {
  private static final int TICKS_PER_PROBE_INTERVAL = 5;
  private static final long MS_NANOS = 1_000_000;
  private static final long SECOND_NANOS = 1000 * MS_NANOS;
  private static final long NOT_STARTED = -1;

  private final Vertx vertx;
  private final MembershipSettings settings;
  private final GatewayOptions options;
  private final FleetCallbacks callbacks;
  private final SwimTimings timings;
  private final Clock clock = new Clock();
  private final DatagramCounters counters = new DatagramCounters();
  private final MembershipLog log;
  private final MembershipSocket socket;
  private final DatagramCodec codec;
  private final ReloadableKeyring keyring;
  private final Optional<FleetMessageHandler> handler;
  private final Optional<AdminEndpoint> admin;
  private SwimProtocol protocol;
  private DatagramReceiver receiver;
  private long timerId = NOT_STARTED;
  private int quotaDivisor;
  private double quotaShare = -1;

  /**
   * The membership of one gateway, not started yet.
   *
   * @param handlerFactory makes what uses the fleet's datagrams; null for nothing
   */
  public MembershipService(
      Vertx vertx,
      MembershipSettings settings,
      GatewayOptions options,
      FleetCallbacks callbacks,
      FleetMessageHandler.Factory handlerFactory) {
    this.vertx = vertx;
    this.settings = settings;
    this.options = options;
    this.callbacks = callbacks;
    int maxMembers =
        settings.maxMembers() == 0
            ? Math.max(1, options.routingConfig().gateways())
            : settings.maxMembers();
    timings = SwimTimings.withProbeInterval(maxMembers, settings.probeIntervalNanos());
    log = new MembershipLog(options.name());
    socket = new MembershipSocket(vertx, counters);
    codec = new DatagramCodec(settings.fleet(), timings.maxUpdatesPerMessage());
    keyring = new ReloadableKeyring(vertx, settings.keyFile());
    handler = Optional.ofNullable(handlerFactory).map(factory -> factory.create(vertx, this));
    admin =
        Optional.ofNullable(settings.adminAddress())
            .map(address -> new AdminEndpoint(vertx, this, handler));
  }

  /** Fails with a {@link MembershipException}. */
  @Override
  public Future<Void> start() {
    if (!options.name().matches(DatagramCodec.NAME)) {
      return Future.failedFuture(new MembershipException.InvalidName(options.name()));
    }
    return keyring
        .load()
        .compose(keys -> socket.listen(settings.listen()))
        .compose(
            boundAddress -> {
              join(boundAddress);
              return admin
                  .map(endpoint -> endpoint.listen(settings.adminAddress()).<Void>mapEmpty())
                  .orElseGet(Future::succeededFuture);
            })
        .recover(
            failure ->
                Future.failedFuture(
                    failure instanceof MembershipException
                        ? failure
                        : new MembershipException.StartFailed(failure)));
  }

  private void join(String boundAddress) {
    long nowNanos = clock.nowNanos();
    long instanceId = new SecureRandom().nextLong();
    String address =
        settings.advertised() == null ? boundAddress : hostAndPort(settings.advertised());
    String name = options.name();
    protocol =
        new SwimProtocol(
            timings,
            new MemberUpdate(
                name, address, nowNanos / SECOND_NANOS, instanceId, MemberStatus.ALIVE, name),
            settings.seeds().stream().map(MembershipService::hostAndPort).toList(),
            options.routingConfig().seed() ^ instanceId,
            nowNanos,
            new ProtocolOutput());
    receiver =
        new DatagramReceiver(
            codec,
            counters,
            new ReplayFilter(instanceId, timings.probeIntervalNanos(), nowNanos),
            protocol,
            handler);
    log.joining(settings.fleet(), keyring.current().signingKeyId(), boundAddress, address, timings);
    socket.onDatagram(this::datagramReceived);
    long tickMillis =
        Math.max(1, timings.probeIntervalNanos() / TICKS_PER_PROBE_INTERVAL / MS_NANOS);
    timerId = vertx.setPeriodic(tickMillis, timer -> tick());
    updateQuotaShare();
    handler.ifPresent(started -> started.membershipStarted(nowNanos));
  }

  private static String hostAndPort(SocketAddress address) {
    return address.hostAddress() + ":" + address.port();
  }

  private void tick() {
    protocol.tick(clock.nowNanos());
    updateQuotaShare();
    handler.ifPresent(started -> started.tick(clock.nowNanos()));
    log.tick(clock.nowNanos());
  }

  // ---- Datagrams.

  private void datagramReceived(byte[] datagram) {
    receiver.receive(datagram, keyring.current(), clock.nowNanos());
    updateQuotaShare();
  }

  private final class ProtocolOutput implements SwimProtocol.Output {
    @Override
    public void send(String address, GossipMessage message) {
      socket.send(address, codec.encode(message, keyring.current()));
    }

    @Override
    public void memberStatusChanged(String name, MemberStatus status) {
      log.statusChanged(name, status);
    }

    @Override
    public void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {
      log.phaseChanged(from, to);
    }

    @Override
    public void nameConflictDetected(String address) {
      log.nameConflict(address);
    }
  }

  /** Tells the router once the share is another. */
  private void updateQuotaShare() {
    if (protocol.countedMembers() == quotaDivisor && protocol.quotaShare() == quotaShare) {
      return;
    }
    quotaDivisor = protocol.countedMembers();
    quotaShare = protocol.quotaShare();
    log.quotaShareChanged(quotaDivisor, quotaShare > 0);
    callbacks.quotaShareChanged(quotaDivisor, quotaShare);
  }

  // ---- For a FleetMessageHandler.

  /**
   * Sends a message to the same handler of a member; it may be lost, as any datagram. One over
   * {@link DatagramCodec#MAX_PAYLOAD_BYTES} is not sent.
   *
   * @return whether the member is present
   */
  public boolean sendMessage(String to, byte[] body) {
    Optional<MemberUpdate> recipient = protocol.find(to);
    if (recipient.isPresent() && body.length <= DatagramCodec.MAX_PAYLOAD_BYTES) {
      UserMessage message =
          new UserMessage(
              protocol.self(), recipient.get().instanceId(), protocol.nextSequenceNumber(), body);
      socket.send(recipient.get().address(), codec.encode(message, keyring.current()));
    }
    return recipient.isPresent();
  }

  /** A seed for random numbers: another in each process. */
  public long seed() {
    return options.routingConfig().seed() ^ protocol.self().instanceId();
  }

  /** This gateway's name. */
  public String name() {
    return options.name();
  }

  /** The names of all members that are present, this gateway among them, in their order. */
  public List<String> presentNames() {
    return protocol.presentNames();
  }

  /** What a handler may tell the gateway's router, and ask of it. */
  public FleetCallbacks callbacks() {
    return callbacks;
  }

  /** Unix nanoseconds that only go forward. */
  public long nowNanos() {
    return clock.nowNanos();
  }

  // ---- What the gateway tells.

  private Optional<FleetMessageHandler> startedHandler() {
    return timerId == NOT_STARTED ? Optional.empty() : handler;
  }

  @Override
  public void endpointHealthChanged(String endpointId, EndpointHealthStatus health) {
    startedHandler()
        .ifPresent(started -> started.endpointHealthChanged(clock.nowNanos(), endpointId, health));
  }

  @Override
  public void endpointWarmingUp(String endpointId, long untilNanos) {
    startedHandler()
        .ifPresent(started -> started.endpointWarmingUp(clock.nowNanos(), endpointId, untilNanos));
  }

  @Override
  public void beginDraining() {
    startedHandler().ifPresent(started -> started.drainStarted(clock.nowNanos()));
  }

  /** Reads the key file anew; one that can't be read leaves the present keys. */
  @Override
  public void reload() {
    startedHandler().ifPresent(FleetMessageHandler::settingsReloaded);
    keyring
        .load()
        .onSuccess(keys -> log.keysReloaded(keys.signingKeyId()))
        .onFailure(failure -> log.keysUnchanged(failure.getMessage()));
  }

  @Override
  public Future<Void> close() {
    admin.ifPresent(AdminEndpoint::close);
    if (timerId == NOT_STARTED) {
      return Future.succeededFuture();
    }
    vertx.cancelTimer(timerId);
    handler.ifPresent(started -> started.close(clock.nowNanos()));
    protocol.leave(clock.nowNanos());
    return socket.close();
  }

  // ---- For the admin endpoint.

  /** Empty until the gateway has joined. */
  Optional<SwimProtocol> protocol() {
    return Optional.ofNullable(protocol);
  }

  Optional<FleetMessageHandler> handler() {
    return handler;
  }

  DatagramCounters counters() {
    return counters;
  }

  SwimTimings timings() {
    return timings;
  }

  String fleet() {
    return settings.fleet();
  }
}
