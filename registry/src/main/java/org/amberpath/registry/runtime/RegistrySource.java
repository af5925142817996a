package org.amberpath.registry.runtime;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import org.amberpath.gateway.EndpointSource;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.registry.FirstListWait;
import org.amberpath.registry.RegistryView;
import org.amberpath.registry.Snapshot;
import org.amberpath.registry.WatchSession;
import org.amberpath.registry.WatchSessionConfig;
import org.amberpath.routing.EndpointListener;

/**
 * Supplies a gateway with endpoints and purges from a registry: runs a {@link WatchSession} with
 * its timer, and saves its view in a snapshot file. Everything runs on the event loop that starts
 * it, except reading and writing files.
 */
public final class RegistrySource implements EndpointSource {
  private static final long MS = 1_000_000;
  private static final long BLOCKING_READ_NANOS = 10_000 * MS;
  private static final long HOUSEKEEPING_MILLIS = 1000;

  /** The id of no timer. */
  private static final long NO_TIMER = -1;

  /**
   * The state of the view, for operators.
   *
   * @param hasData whether endpoints were published, from the registry or from a snapshot
   * @param revision the registry's revision up to which the view includes all changes
   * @param ageNanos time since the view was last known to be current
   * @param keys number of keys in the view
   * @param watchCount number of open watches
   */
  public record Status(
      WatchSession.Phase phase,
      boolean hasData,
      long revision,
      long ageNanos,
      int keys,
      int watchCount) {}

  private final Vertx vertx;
  private final RegistrySettings settings;
  private final Clock clock = new Clock();
  private final RegistryLog log = new RegistryLog();
  private final RegistryHttpClient client;
  private final WatchCommandExecutor commandExecutor;
  private final WallTimes wallTimes;
  private final Optional<SnapshotWriter> snapshotWriter;
  private final RegistryView view;
  private final WatchSession session;
  private FirstListWait firstListWait = new FirstListWait(clock.nowNanos());
  private long tickTimer = NO_TIMER;
  private long housekeepingTimer = NO_TIMER;
  private long nextTickNanos = Long.MAX_VALUE;
  private boolean isRunning;

  /**
   * Creates a source; it sends nothing before {@link #start}.
   *
   * @param seed seed of all random choices
   */
  public RegistrySource(
      Vertx vertx, RegistrySettings settings, EndpointListener listener, long seed) {
    this.vertx = vertx;
    this.settings = settings;
    client = new RegistryHttpClient(vertx, settings, protocol(settings));
    commandExecutor = new WatchCommandExecutor(client, clock::nowNanos, log, this::scheduleTick);
    wallTimes = new WallTimes(listener, clock::nowNanos, System::currentTimeMillis);
    snapshotWriter =
        Optional.ofNullable(settings.snapshotFile())
            .map(
                file ->
                    new SnapshotWriter(
                        new SnapshotWriter.Target(
                            file, FileOperations.DISK, settings.snapshotIntervalNanos()),
                        write -> vertx.executeBlocking(write, false),
                        clock::nowNanos,
                        seed,
                        log::info));
    view =
        new RegistryView(
            wallTimes,
            settings.tipKey(),
            settings.maxKeys(),
            settings.purgeRetentionNanos(),
            log::info);
    session = new WatchSession(view, commandExecutor, config(settings, seed), log::info);
    commandExecutor.attach(session);
  }

  private static WatchSessionConfig config(RegistrySettings settings, long seed) {
    boolean hasBlockingReads = settings.protocol() == RegistrySettings.ProtocolKind.CONSUL;
    // The server may hold a blocking read for a sixteenth longer than requested.
    long blockingTimeNanos = hasBlockingReads ? BLOCKING_READ_NANOS + BLOCKING_READ_NANOS / 16 : 0;
    return new WatchSessionConfig(
        settings.endpoints().size(), settings.maxKeys(), blockingTimeNanos, seed);
  }

  /** Returns the codec of the configured protocol. */
  static RegistryProtocol protocol(RegistrySettings settings) {
    return settings.protocol() == RegistrySettings.ProtocolKind.ETCD
        ? new EtcdProtocol(settings.prefix())
        : new ConsulProtocol(settings.prefix(), BLOCKING_READ_NANOS / MS);
  }

  @Override
  public boolean awaitsFirstList() {
    return firstListWait.isWaiting(clock.nowNanos(), session.phase() == WatchSession.Phase.CURRENT);
  }

  @Override
  public void start() {
    isRunning = true;
    firstListWait = new FirstListWait(clock.nowNanos());
    housekeepingTimer =
        vertx.setPeriodic(
            HOUSEKEEPING_MILLIS,
            timer -> {
              log.endPeriod();
              snapshotWriter.ifPresent(writer -> writer.tick(this::currentSnapshot));
            });
    if (settings.snapshotFile() == null) {
      startSession();
    } else {
      new SnapshotRestore(vertx, settings, clock::nowNanos, log)
          .restoreInto(view)
          .onComplete(restored -> startSession());
    }
  }

  private void startSession() {
    if (isRunning) {
      session.start(clock.nowNanos());
      scheduleTick();
    }
  }

  @Override
  public void reload() {
    client
        .reload()
        .onComplete(
            result -> {
              if (result.failed()) {
                log.warning(
                    "a TLS file can't be loaded (trust, certificate or key);"
                        + " the previous ones stay in use");
              }
              if (isRunning) {
                session.settingsReloaded(clock.nowNanos());
                scheduleTick();
              }
            });
  }

  @Override
  public void close() {
    isRunning = false;
    vertx.cancelTimer(tickTimer);
    vertx.cancelTimer(housekeepingTimer);
    commandExecutor.close();
    client.close();
  }

  /** The current state of the view. */
  public Status status() {
    return new Status(
        session.phase(),
        view.hasData(),
        view.appliedRevision(),
        Math.max(0, clock.nowNanos() - view.confirmedAtNanos()),
        view.keyCount(),
        session.watchCount());
  }

  /** Sets the timer for the session's next tick; one timer at a time. */
  private void scheduleTick() {
    long dueNanos = session.nextTickNanos();
    if (dueNanos == nextTickNanos || !isRunning) {
      return;
    }
    vertx.cancelTimer(tickTimer);
    nextTickNanos = dueNanos;
    long delayMillis = Math.max(1, (dueNanos - clock.nowNanos() + MS - 1) / MS);
    tickTimer =
        vertx.setTimer(
            delayMillis,
            timer -> {
              nextTickNanos = Long.MAX_VALUE;
              session.tick(clock.nowNanos());
              scheduleTick();
            });
  }

  /**
   * Returns the view for the snapshot file, with its age by the wall clock; empty unless the view
   * is current.
   */
  private Optional<Snapshot> currentSnapshot() {
    return !view.hasData() || session.phase() != WatchSession.Phase.CURRENT
        ? Optional.empty()
        : Optional.of(
            new Snapshot(
                settings.prefix(),
                view.clusterId(),
                view.appliedRevision(),
                wallTimes.toUnixNanos(view.confirmedAtNanos()),
                List.copyOf(view.entries())));
  }
}
