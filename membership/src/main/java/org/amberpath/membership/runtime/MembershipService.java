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
 * Runs a {@link SwimProtocol} on the gateway's event loop: passes datagrams and ticks to the
 * protocol, sends the protocol's messages through the socket, logs membership changes, and reports
 * this gateway's share of fleet-wide limits to the router.
 *
 * <p>All methods are called on the event loop. {@link ReplayFilter} bounds the rate of processed
 * datagrams, and {@link MembershipLog} the rate of log lines.
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
   * Creates the membership service of one gateway, which does nothing until {@link #start}.
   *
   * @param handlerFactory creates the handler of user messages; null for a service that discards
   *     user messages
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

  /**
   * Loads the keys, binds the socket, begins to join the fleet and starts the admin endpoint if one
   * is configured. The future fails only with a {@link MembershipException}.
   */
  @Override
  public Future<Void> start() {
    if (!options.name().matches(DatagramCodec.NAME_PATTERN)) {
      return Future.failedFuture(new MembershipException.InvalidName(options.name()));
    }
    return keyring
        .load()
        .compose(keys -> socket.listen(settings.listenAddress()))
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
    String advertised =
        settings.advertisedAddress() == null
            ? boundAddress
            : hostAndPort(settings.advertisedAddress());
    String name = options.name();
    protocol =
        new SwimProtocol(
            timings,
            new MemberUpdate(
                name, advertised, nowNanos / SECOND_NANOS, instanceId, MemberStatus.ALIVE, name),
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
    log.joining(
        settings.fleet(), keyring.current().signingKeyId(), boundAddress, advertised, timings);
    socket.receiveWith(this::datagramReceived);
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

  /** Reports the quota share to the log and the router if the share or its divisor has changed. */
  private void updateQuotaShare() {
    if (protocol.quotaDivisor() == quotaDivisor && protocol.quotaShare() == quotaShare) {
      return;
    }
    quotaDivisor = protocol.quotaDivisor();
    quotaShare = protocol.quotaShare();
    log.quotaShareChanged(quotaDivisor, quotaShare > 0);
    callbacks.quotaShareChanged(quotaDivisor, quotaShare);
  }

  // ---- Methods for the FleetMessageHandler.

  /**
   * Sends a message to the {@link FleetMessageHandler} of another member; delivery is not
   * guaranteed. A body of more than {@link DatagramCodec#MAX_PAYLOAD_BYTES} bytes is not sent.
   *
   * @param recipientName the name of the receiving member
   * @return whether the receiving member is present
   */
  public boolean sendMessage(String recipientName, byte[] body) {
    Optional<MemberUpdate> recipient = protocol.find(recipientName);
    if (recipient.isPresent() && body.length <= DatagramCodec.MAX_PAYLOAD_BYTES) {
      UserMessage message =
          new UserMessage(
              protocol.self(), recipient.get().instanceId(), protocol.nextSequenceNumber(), body);
      socket.send(recipient.get().address(), codec.encode(message, keyring.current()));
    }
    return recipient.isPresent();
  }

  /** Returns a seed for random numbers that differs between processes. */
  public long seed() {
    return options.routingConfig().seed() ^ protocol.self().instanceId();
  }

  /** Returns this gateway's name. */
  public String name() {
    return options.name();
  }

  /** Returns the names of all present members including this gateway, sorted. */
  public List<String> presentNames() {
    return protocol.presentNames();
  }

  /** Returns the callbacks through which the handler reports to the gateway's router. */
  public FleetCallbacks callbacks() {
    return callbacks;
  }

  /** Returns the current time in Unix nanoseconds, which never go back. */
  public long nowNanos() {
    return clock.nowNanos();
  }

  // ---- Events from the gateway.

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

  /** Reloads the key file; if it is invalid or cannot be read, the current keys remain in use. */
  @Override
  public void reload() {
    startedHandler().ifPresent(FleetMessageHandler::settingsReloaded);
    keyring
        .load()
        .onSuccess(keys -> log.keysReloaded(keys.signingKeyId()))
        .onFailure(
            failure ->
                log.keyReloadFailed(
                    failure instanceof MembershipException
                        ? failure.getMessage()
                        : failure.toString()));
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

  // ---- Methods for the admin endpoint.

  /** Returns the protocol; empty until the gateway has begun to join its fleet. */
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
