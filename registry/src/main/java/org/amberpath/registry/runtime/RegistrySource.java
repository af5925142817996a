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
import org.amberpath.gateway.Clock;
import org.amberpath.gateway.EndpointSource;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.RegistryListing;
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
  private final RegistrySettings settings;
  private final Clock clock = new Clock();
  private final RegistryProtocol form;
  private final RegistryHttpClient client;
  private final WallTimes times;
  private final SnapshotKeeper keeper;
  private final RegistryView view;
  private final WatchSession session;
  private final Map<Long, RegistryHttpClient.Exchange> calls = new HashMap<>();
  private long timer = -1, ticker = -1, armedFor = Long.MAX_VALUE;
  private int lines, muted;
  private boolean running;

  /** Makes a source that has asked for nothing yet; the seed gives all its chance. */
  public RegistrySource(Vertx vertx, RegistrySettings access, EndpointListener to, long seed) {
    this.vertx = vertx;
    this.settings = access;
    boolean blocking = access.protocol() == RegistrySettings.ProtocolKind.CONSUL;
    form = protocol(access);
    client = new RegistryHttpClient(vertx, access, form);
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
    session =
        new WatchSession(
            view,
            this,
            access.endpoints().size(),
            access.maxKeys(),
            blocking ? BLOCKING + BLOCKING / 16 : 0,
            seed,
            this::note);
  }

  static RegistryProtocol protocol(RegistrySettings access) {
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
    if (settings.snapshot() == null) {
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
    SnapshotFile.clean(settings.snapshot(), FileOperations.DISK);
    return Files.exists(settings.snapshot())
        ? SnapshotFile.read(settings.snapshot(), settings.maxResponseBytes())
        : null;
  }

  private void remember(Snapshot kept) {
    long now = clock.nowNanos();
    String refusal = kept.refusal(now, settings.prefix(), settings.maxSnapshotAgeNanos());
    if (refusal != null) {
      LOG.warning("registry: the snapshot is passed over: " + refusal);
    } else {
      view.restoreSnapshot(
          now,
          new RegistryListing(
              kept.entries(), kept.cluster(), kept.revision(), now - kept.ageNanos(now)));
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
      session.start(clock.nowNanos());
      arm();
    }
  }

  @Override
  public void reload() {
    client
        .reload()
        .onComplete(
            done -> {
              if (done.failed()) {
                LOG.warning("registry: the files for TLS can't be taken; those read before stay");
              }
              if (running) {
                session.settingsReloaded(clock.nowNanos());
                arm();
              }
            });
  }

  @Override
  public void close() {
    running = false;
    vertx.cancelTimer(timer);
    vertx.cancelTimer(ticker);
    calls.values().forEach(RegistryHttpClient.Exchange::cancel);
    calls.clear();
    client.close();
  }

  /** The view as it stands. */
  public Status status() {
    return new Status(
        session.phase(),
        view.hasData(),
        view.appliedRevision(),
        Math.max(0, clock.nowNanos() - view.confirmedAtNanos()),
        view.keyCount(),
        session.watchCount());
  }

  /** Wakes the recovery when it wants to be; one timer at a time. */
  private void arm() {
    long due = session.nextTickNanos();
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
              session.tick(clock.nowNanos());
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
    return !view.hasData() || session.phase() != WatchSession.Phase.CURRENT
        ? null
        : new Snapshot(
            settings.prefix(),
            view.clusterId(),
            view.appliedRevision(),
            times.unix(view.confirmedAtNanos()),
            List.copyOf(view.entries()));
  }

  // ---- Orders.

  /** One answer, told to the recovery with what it was for. */
  private abstract class Told implements RegistryHttpClient.ResponseHandler {
    final long call;

    Told(long call) {
      this.call = call;
    }

    abstract void read(int status, MultiMap headers, byte[] body);

    @Override
    public void completed(int status, MultiMap headers, byte[] body) {
      calls.remove(call);
      taken(
          () -> {
            if (form.isCompacted(status, body)) {
              session.compacted(clock.nowNanos(), call);
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
        session.callFailed(clock.nowNanos(), call, RegistryFailure.UNREADABLE, 0);
      }
      arm();
    }

    @Override
    public void failed(RegistryFailure why, long retryAfter) {
      calls.remove(call);
      session.callFailed(clock.nowNanos(), call, why, retryAfter);
      arm();
    }
  }

  private void send(int endpoint, RegistryProtocol.Request ask, boolean lines, Told answer) {
    calls.put(answer.call, client.send(endpoint, ask, lines, answer));
  }

  @Override
  public void list(long call, int endpoint, long revision, String after, long since, int limit) {
    send(
        endpoint,
        form.listRequest(revision, after, since, limit),
        false,
        new Told(call) {
          @Override
          void read(int status, MultiMap headers, byte[] body) {
            RegistryProtocol.Page page = form.decodePage(status, headers, body);
            session.pageReceived(
                clock.nowNanos(), call, page.header(), page.items(), page.more(), page.count());
          }
        });
  }

  @Override
  public void watch(long call, int endpoint, long from) {
    boolean lines = settings.protocol() == RegistrySettings.ProtocolKind.ETCD;
    send(
        endpoint,
        form.watchRequest(from),
        lines,
        new Told(call) {
          @Override
          void read(int status, MultiMap headers, byte[] body) {
            RegistryProtocol.Page page = form.decodePage(status, headers, body);
            session.pageReceived(
                clock.nowNanos(), call, page.header(), page.items(), page.more(), page.count());
          }

          @Override
          public void line(byte[] line) {
            taken(() -> frame(call, form.decodeFrame(line)));
          }
        });
  }

  private void frame(long call, RegistryProtocol.Frame frame) {
    long now = clock.nowNanos();
    if (frame instanceof RegistryProtocol.Frame.Opened opened) {
      session.watchOpened(now, call, opened.header());
    } else if (frame instanceof RegistryProtocol.Frame.Events told) {
      session.eventsReceived(now, call, told.header(), told.events(), told.partial());
    } else {
      cancel(call);
      if (frame instanceof RegistryProtocol.Frame.Compacted) {
        session.compacted(now, call);
      } else if (frame instanceof RegistryProtocol.Frame.Ended ended) {
        session.callFailed(now, call, ended.why(), 0);
      }
    }
  }

  @Override
  public void heartbeat(long call, int endpoint) {
    send(
        endpoint,
        form.heartbeatRequest(),
        false,
        new Told(call) {
          @Override
          void read(int status, MultiMap headers, byte[] body) {
            RegistryProtocol.Heartbeat tip = form.decodeHeartbeat(status, headers, body);
            session.heartbeatReceived(clock.nowNanos(), call, tip.header(), tip.tipRevision());
          }
        });
  }

  @Override
  public void cancel(long call) {
    RegistryHttpClient.Exchange sent = calls.remove(call);
    if (sent != null) {
      sent.cancel();
    }
  }
}
