package org.amberpath.gateway;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Logger;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.gateway.pipeline.BatchRouter;
import org.amberpath.gateway.pipeline.EndpointObserver;
import org.amberpath.gateway.pipeline.RequestPipeline;
import org.amberpath.gateway.pipeline.SyntheticRequests;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.routing.EndpointHealthStatus;
import org.amberpath.routing.RequestRouter;

/**
 * A gateway and its lifecycle: it starts, reloads its configuration, shuts down gracefully and
 * closes. All of it runs on one event loop; its public methods may be called from any thread.
 */
public final class Gateway {
  /**
   * The phases of the lifecycle, in order. A client's status request is answered with true only in
   * {@link #SERVING}, and not before an endpoint list was received.
   */
  public enum Phase {
    /** Created, but not started. */
    NEW,
    /** Warms up, binds the listen address and waits for the first discovery response. */
    STARTING,
    /** Accepts and routes clients' requests. */
    SERVING,
    /** Shuts down gracefully, by a {@link ShutdownSchedule}. */
    DRAINING,
    /** Closes, or has closed, all sockets and timers. */
    STOPPED
  }

  private static final Logger LOG = Logger.getLogger(Gateway.class.getName());
  private static final long SWEEP_INTERVAL_MILLIS = 250;
  private static final long FIRST_DISCOVERY_CHECK_MILLIS = 5;

  /** The longest time that the shutdown waits for sockets to be closed. */
  private static final long CLOSE_TIMEOUT_NANOS = 100_000_000;

  private final Vertx vertx;
  private final Context context;
  private final GatewayOptions options;
  private final Clock clock;
  private final RequestPipeline pipeline;
  private final EndpointDiscovery discovery;
  private final ConfigurationReader configurationReader;

  /** Null where the gateway runs without a fleet. */
  private final FleetCoordinator fleetCoordinator;

  private final Promise<Void> stopped = Promise.promise();

  /** Null until the start has reached the binding of the listen address. */
  private ClientListener listener;

  private long sweepTimer = -1;
  private long lagTimer = -1;
  private volatile Phase phase = Phase.NEW;

  /** Creates a gateway without extensions, which {@link #start()} starts later. */
  public Gateway(Vertx vertx, GatewayOptions options) {
    this(vertx, options, GatewayExtensions.NONE);
  }

  /**
   * Creates a gateway with extensions, which {@link #start()} starts later. An endpoint source
   * among them is used together with the journal, or instead of it if the options name no journal.
   */
  public Gateway(Vertx vertx, GatewayOptions options, GatewayExtensions extensions) {
    this(vertx, options, extensions, new RequestRouter(options.routingConfig())::decide);
  }

  /**
   * Creates a gateway with extensions and a router other than {@link RequestRouter}, such as one
   * that records events.
   */
  public Gateway(
      Vertx vertx, GatewayOptions options, GatewayExtensions extensions, BatchRouter router) {
    this(vertx, options, extensions, router, new Clock());
  }

  /**
   * Creates a gateway with extensions, a router and a clock other than the system's, such as one
   * whose wall clock is stepped.
   */
  public Gateway(
      Vertx vertx,
      GatewayOptions options,
      GatewayExtensions extensions,
      BatchRouter router,
      Clock clock) {
    this.vertx = vertx;
    context = vertx.getOrCreateContext();
    this.options = options;
    this.clock = clock;
    pipeline = new RequestPipeline(vertx, options.pipelineConfig(), clock, router, this::isServing);
    discovery = new EndpointDiscovery(pipeline, options, extensions.endpointSource());
    configurationReader = new ConfigurationReader(context, () -> phase == Phase.STOPPED);
    fleetCoordinator =
        extensions.fleetCoordinator() == null
            ? null
            : createFleetCoordinator(extensions.fleetCoordinator());
  }

  private FleetCoordinator createFleetCoordinator(FleetCoordinator.Factory factory) {
    SyntheticRequests synthetic = pipeline.enableSyntheticRequests(options.routingConfig());
    FleetCoordinator coordinator =
        factory.create(
            vertx, options, new GatewayFleetCallbacks(pipeline, synthetic, this::isServing));
    pipeline.setEndpointObserver(
        new EndpointObserver() {
          @Override
          public void healthChanged(int endpoint, EndpointHealthStatus health) {
            coordinator.endpointHealthChanged(pipeline.endpointId(endpoint), health);
          }

          @Override
          public void warmingUp(int endpoint, long untilNanos) {
            coordinator.endpointWarmingUp(pipeline.endpointId(endpoint), untilNanos);
          }
        });
    return coordinator;
  }

  private void enterPhase(Phase nextPhase) {
    LOG.info(options.name() + ": " + phase + " -> " + nextPhase);
    phase = nextPhase;
  }

  /** Returns the current phase of the lifecycle. */
  public Phase phase() {
    return phase;
  }

  private boolean isServing() {
    return phase == Phase.SERVING;
  }

  /**
   * Starts the gateway: applies the journal entries of the configuration, warms up the code, joins
   * the fleet, binds the listen address and starts discovery. The future completes when the gateway
   * serves clients; where it fails, the exception's message is meant for operators.
   */
  public Future<Gateway> start() {
    Promise<Gateway> started = Promise.promise();
    context.runOnContext(turn -> start(started));
    return started.future();
  }

  private void start(Promise<Gateway> started) {
    enterPhase(Phase.STARTING);
    try {
      discovery.applyKnownEntries(options);
    } catch (InvalidDocumentException e) {
      started.fail(e);
      return;
    }
    StartupWarmUp warmUp = new StartupWarmUp(vertx, options.routingConfig());
    warmUp.runInProcess();
    if (fleetCoordinator != null) {
      fleetCoordinator.start().onFailure(started::tryFail);
    }
    listener = new ClientListener(options, pipeline);
    listener
        .listen()
        .onFailure(started::tryFail)
        .onSuccess(listening -> startDiscovery(warmUp, started));
  }

  private void startDiscovery(StartupWarmUp warmUp, Promise<Gateway> started) {
    if (phase != Phase.STARTING) {
      listener.close();
      return;
    }
    discovery.start();
    lagTimer = pipeline.context().lagMonitor().start(vertx);
    sweepTimer = vertx.setPeriodic(SWEEP_INTERVAL_MILLIS, timer -> pipeline.sweep());
    warmUp
        .runOverSockets(
            SocketAddress.inetSocketAddress(port(), options.listenAddress().hostAddress()))
        .onComplete(warm -> serve(started));
  }

  /**
   * Enters {@link Phase#SERVING}, once the first discovery response was received. Guards against
   * routing decisions by an endpoint list that is as old as the configuration, or as the snapshot
   * of an earlier run.
   */
  private void serve(Promise<Gateway> started) {
    if (phase != Phase.STARTING) {
      return;
    }
    if (pipeline.context().discoveryFreshness().awaitsResponse() || discovery.awaitsFirstList()) {
      vertx.setTimer(FIRST_DISCOVERY_CHECK_MILLIS, timer -> serve(started));
      return;
    }
    enterPhase(Phase.SERVING);
    LOG.info(
        options.name() + ": listens at " + options.listenAddress().hostAddress() + ":" + port());
    started.tryComplete(this);
  }

  /**
   * Rereads the configuration and applies what may change while the gateway runs: the address of
   * the journal and the journal entries that the configuration contains. The endpoint source and
   * the fleet coordinator reread their files. All other settings stay as they were at the start.
   * Where the configuration can't be read, a warning is logged, and nothing changes.
   *
   * @param reader reads the configuration; it is called on a worker thread
   */
  public Future<Void> reload(Supplier<GatewayOptions> reader) {
    Promise<Void> reloaded = Promise.promise();
    context.runOnContext(
        turn ->
            configurationReader
                .read(reader)
                .onSuccess(this::applyConfiguration)
                .<Void>mapEmpty()
                .onFailure(e -> LOG.warning("SIGHUP: configuration unchanged: " + e.getMessage()))
                .onComplete(reloaded));
    return reloaded.future();
  }

  private void applyConfiguration(GatewayOptions newOptions) {
    if (phase == Phase.NEW || phase == Phase.STOPPED) {
      return;
    }
    discovery.reloadSource();
    if (fleetCoordinator != null) {
      fleetCoordinator.reload();
    }
    discovery
        .changeJournalAddress(newOptions)
        .ifPresent(address -> LOG.info(options.name() + ": journal polled at " + address));
  }

  /**
   * Returns how many requests, endpoints and client connections the gateway holds, for checks that
   * look for leaks.
   */
  public int resourceCount() {
    return pipeline.resourceCount();
  }

  /** Returns the context of the gateway's event loop. */
  public Context context() {
    return context;
  }

  /** Returns the port that clients connect to; may be called only once the gateway listens. */
  public int port() {
    return listener.port();
  }

  /**
   * Shuts down gracefully: answers all requests in flight and those that still arrive, then closes
   * all connections, before SIGKILL may follow SIGTERM. The future completes when all is closed, or
   * when closing has taken 0.1 s.
   */
  public Future<Void> stop() {
    // The schedule starts at this call, not at the event loop's next turn. Guards against a lagging
    // event loop, which would otherwise end the shutdown later by its lag.
    ShutdownSchedule schedule = new ShutdownSchedule(clock.nowNanos(), options.maxDeadlineNanos());
    context.runOnContext(turn -> stop(schedule));
    return stopped.future();
  }

  private void stop(ShutdownSchedule schedule) {
    if (phase == Phase.NEW || listener == null) {
      close(schedule);
    } else if (phase == Phase.STARTING || phase == Phase.SERVING) {
      // A gateway that already listens may have received requests before it serves.
      enterPhase(Phase.DRAINING);
      if (fleetCoordinator != null) {
        fleetCoordinator.beginDraining();
      }
      new GracefulShutdown(pipeline, schedule, this::close).start();
    }
  }

  private void close(ShutdownSchedule schedule) {
    enterPhase(Phase.STOPPED);
    vertx.cancelTimer(sweepTimer);
    vertx.cancelTimer(lagTimer);
    discovery.close();
    pipeline.close();
    Future<Void> fleetLeft =
        fleetCoordinator == null ? Future.succeededFuture() : fleetCoordinator.close();
    Future<Void> listenerClosed = listener == null ? Future.succeededFuture() : listener.close();
    // The timeout guards against a client that does not read and so keeps its connection open.
    Future.join(fleetLeft, listenerClosed)
        .timeout(
            Math.min(CLOSE_TIMEOUT_NANOS, schedule.timeLeftNanos(clock.nowNanos())),
            TimeUnit.NANOSECONDS)
        .onComplete(closed -> stopped.complete());
  }
}
