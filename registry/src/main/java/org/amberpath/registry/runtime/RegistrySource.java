package org.amberpath.registry.runtime;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import org.amberpath.gateway.EndpointSource;
import org.amberpath.gateway.discovery.Clock;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.RegistryView;
import org.amberpath.registry.Snapshot;
import org.amberpath.registry.WatchCommands;
import org.amberpath.registry.WatchSession;
import org.amberpath.routing.EndpointListener;

/**
 * A registry as a gateway's source of news: carries out what {@link WatchSession} orders and tells
 * it what came. All of it runs on the event loop that starts it.
 */
public final class RegistrySource implements EndpointSource, WatchCommands {
  private static final Logger LOG = Logger.getLogger(RegistrySource.class.getName());
  private static final long BLOCKING = 10_000_000_000L, MS = 1_000_000;
  private static final int LOG_LINES = 8;
  private static final long LOG_MS = 1000, READ_MILLIS = 1000;

  /** What staff may want to know of the view. Ages are nanoseconds, the revision the registry's. */
  public record Status(
      WatchSession.Phase phase,
      boolean hasData,
      long revision,
      long ageNanos,
      int keys,
      int watchCount) {}

  private final Vertx vertx;
  private final RegistrySettings access;
  private final Clock clock = new Clock();
  private final RegistryProtocol form;
  private final RegistryHttpClient wires;
  private final WallTimes times;
  private final SnapshotKeeper keeper;
  private final RegistryView view;
  private final WatchSession recovery;
  private final Map<Long, RegistryHttpClient.Sent> calls = new HashMap<>();
  private long timer = -1, ticker = -1, armedFor = Long.MAX_VALUE;
  private int lines, muted;
  private boolean running;

  /** Makes a source that has asked for nothing yet; the seed gives all its chance. */
  public RegistrySource(Vertx vertx, RegistrySettings access, EndpointListener to, long seed) {
    this.vertx = vertx;
    this.access = access;
    boolean blocking = access.protocol() == RegistrySettings.ProtocolKind.CONSUL;
    form = form(access);
    wires = new RegistryHttpClient(vertx, access, form);
    times = new WallTimes(to, clock::nowNanos, System::currentTimeMillis);
    keeper =
        access.snapshot() == null
            ? null
            : new SnapshotKeeper(
                access.snapshot(),
                FileOperations.DISK,
                access.snapshotIntervalNanos(),
                write -> vertx.executeBlocking(write, false),
                clock::nowNanos,
                seed,
                this::note);
    view =
        new RegistryView(
            times, access.tipKey(), access.maxKeys(), access.purgeRetentionNanos(), this::note);
    // The server may hold a read for a sixteenth longer than it is asked to.
    recovery =
        new WatchSession(
            view,
            this,
            access.endpoints().size(),
            access.maxKeys(),
            blocking ? BLOCKING + BLOCKING / 16 : 0,
            seed,
            this::note);
  }

  static RegistryProtocol form(RegistrySettings access) {
    return access.protocol() == RegistrySettings.ProtocolKind.ETCD
        ? new EtcdProtocol(access.prefix())
        : new ConsulProtocol(access.prefix(), BLOCKING / MS);
  }

  /** Guards the log against a registry that gives cause for a line with every call. */
  private void note(String line) {
    if (lines < LOG_LINES) {
      lines++;
      LOG.info("registry: " + line.substring(0, Math.min(line.length(), 200)));
    } else {
      muted++;
    }
  }

  @Override
  public void start() {
    running = true;
    ticker =
        vertx.setPeriodic(
            LOG_MS,
            tick -> {
              if (muted > 0) {
                LOG.info("registry: " + muted + " more lines");
              }
              lines = muted = 0;
              keep();
            });
    if (access.snapshot() == null) {
      begin();
      return;
    }
    // Guards the start against a disk that answers nothing: then it begins without.
    vertx
        .executeBlocking(this::kept, false)
        .timeout(READ_MILLIS, TimeUnit.MILLISECONDS)
        .onComplete(
            read -> {
              if (read.failed()) {
                LOG.warning("registry: the snapshot is passed over: " + read.cause().getMessage());
              } else if (read.result() != null) {
                remember(read.result());
              }
              begin();
            });
  }

  /** What the file keeps; null where there is none. */
  private Snapshot kept() throws IOException {
    SnapshotFile.clean(access.snapshot(), FileOperations.DISK);
    return Files.exists(access.snapshot())
        ? SnapshotFile.read(access.snapshot(), access.maxResponseBytes())
        : null;
  }

  private void remember(Snapshot kept) {
    long now = clock.nowNanos();
    String refusal = kept.refusal(now, access.prefix(), access.maxSnapshotAgeNanos());
    if (refusal != null) {
      LOG.warning("registry: the snapshot is passed over: " + refusal);
    } else {
      view.restoreSnapshot(
          now, kept.entries(), kept.cluster(), kept.revision(), now - kept.ageNanos(now));
      LOG.info(
          "registry: serves from a snapshot of revision "
              + kept.revision()
              + ", "
              + kept.ageNanos(now) / MS
              + " ms old");
    }
  }

  private void begin() {
    if (running) {
      recovery.start(clock.nowNanos());
      arm();
    }
  }

  @Override
  public void reload() {
    wires
        .renewed()
        .onComplete(
            done -> {
              if (done.failed()) {
                LOG.warning("registry: the files for TLS can't be taken; those read before stay");
              }
              if (running) {
                recovery.settingsReloaded(clock.nowNanos());
                arm();
              }
            });
  }

  @Override
  public void close() {
    running = false;
    vertx.cancelTimer(timer);
    vertx.cancelTimer(ticker);
    calls.values().forEach(RegistryHttpClient.Sent::drop);
    calls.clear();
    wires.close();
  }

  /** The view as it stands. */
  public Status status() {
    return new Status(
        recovery.phase(),
        view.hasData(),
        view.appliedRevision(),
        Math.max(0, clock.nowNanos() - view.confirmedAtNanos()),
        view.size(),
        recovery.watchCount());
  }

  /** Wakes the recovery when it wants to be; one timer at a time. */
  private void arm() {
    long due = recovery.nextTickNanos();
    if (due == armedFor || !running) {
      return;
    }
    vertx.cancelTimer(timer);
    armedFor = due;
    long delay = Math.max(1, (due - clock.nowNanos() + MS - 1) / MS);
    timer =
        vertx.setTimer(
            delay,
            now -> {
              armedFor = Long.MAX_VALUE;
              recovery.tick(clock.nowNanos());
              arm();
            });
  }

  private void keep() {
    if (keeper != null) {
      keeper.tick(this::latest);
    }
  }

  /**
   * The view for the file, its age by the wall clock as it stands; null while it is not the
   * registry's.
   */
  private Snapshot latest() {
    return !view.hasData() || recovery.phase() != WatchSession.Phase.CURRENT
        ? null
        : new Snapshot(
            access.prefix(),
            view.clusterId(),
            view.appliedRevision(),
            times.unix(view.confirmedAtNanos()),
            List.copyOf(view.entries()));
  }

  // ---- Orders.

  /** One answer, told to the recovery with what it was for. */
  private abstract class Told implements RegistryHttpClient.Answer {
    final long call;

    Told(long call) {
      this.call = call;
    }

    abstract void read(int status, MultiMap headers, byte[] body);

    @Override
    public void whole(int status, MultiMap headers, byte[] body) {
      calls.remove(call);
      taken(
          () -> {
            if (form.isCompacted(status, body)) {
              recovery.compacted(clock.nowNanos(), call);
            } else {
              read(status, headers, body);
            }
          });
    }

    /** What can't be read ends this call alone. */
    void taken(Runnable reading) {
      try {
        reading.run();
      } catch (InvalidDocumentException e) {
        note(e.getMessage());
        cancel(call);
        recovery.callFailed(clock.nowNanos(), call, RegistryFailure.UNREADABLE, 0);
      }
      arm();
    }

    @Override
    public void failed(RegistryFailure why, long retryAfter) {
      calls.remove(call);
      recovery.callFailed(clock.nowNanos(), call, why, retryAfter);
      arm();
    }
  }

  private void send(int endpoint, RegistryProtocol.Ask ask, boolean lines, Told answer) {
    calls.put(answer.call, wires.send(endpoint, ask, lines, answer));
  }

  @Override
  public void list(long call, int endpoint, long revision, String after, long since, int limit) {
    send(
        endpoint,
        form.list(revision, after, since, limit),
        false,
        new Told(call) {
          @Override
          void read(int status, MultiMap headers, byte[] body) {
            RegistryProtocol.Page page = form.page(status, headers, body);
            recovery.pageReceived(
                clock.nowNanos(), call, page.header(), page.items(), page.more(), page.count());
          }
        });
  }

  @Override
  public void watch(long call, int endpoint, long from) {
    boolean lines = access.protocol() == RegistrySettings.ProtocolKind.ETCD;
    send(
        endpoint,
        form.watch(from),
        lines,
        new Told(call) {
          @Override
          void read(int status, MultiMap headers, byte[] body) {
            RegistryProtocol.Page page = form.page(status, headers, body);
            recovery.pageReceived(
                clock.nowNanos(), call, page.header(), page.items(), page.more(), page.count());
          }

          @Override
          public void line(byte[] line) {
            taken(() -> frame(call, form.frame(line)));
          }
        });
  }

  private void frame(long call, RegistryProtocol.Frame frame) {
    long now = clock.nowNanos();
    if (frame instanceof RegistryProtocol.Frame.Opened opened) {
      recovery.watchOpened(now, call, opened.header());
    } else if (frame instanceof RegistryProtocol.Frame.Told told) {
      recovery.eventsReceived(now, call, told.header(), told.changes(), told.partial());
    } else {
      cancel(call);
      if (frame instanceof RegistryProtocol.Frame.Compacted) {
        recovery.compacted(now, call);
      } else if (frame instanceof RegistryProtocol.Frame.Ended ended) {
        recovery.callFailed(now, call, ended.why(), 0);
      }
    }
  }

  @Override
  public void heartbeat(long call, int endpoint) {
    send(
        endpoint,
        form.pulse(),
        false,
        new Told(call) {
          @Override
          void read(int status, MultiMap headers, byte[] body) {
            RegistryProtocol.Tip tip = form.tip(status, headers, body);
            recovery.heartbeatReceived(clock.nowNanos(), call, tip.header(), tip.tip());
          }
        });
  }

  @Override
  public void cancel(long call) {
    RegistryHttpClient.Sent sent = calls.remove(call);
    if (sent != null) {
      sent.drop();
    }
  }
}
