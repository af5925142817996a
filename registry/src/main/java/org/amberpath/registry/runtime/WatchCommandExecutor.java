package org.amberpath.registry.runtime;

import io.vertx.core.MultiMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.RegistryPage;
import org.amberpath.registry.WatchCommands;
import org.amberpath.registry.WatchSession;

/**
 * Executes the commands of a {@link WatchSession} as HTTP requests and passes the responses to the
 * session. Used on the event loop.
 */
final class WatchCommandExecutor implements WatchCommands {
  private final RegistryHttpClient client;
  private final RegistryProtocol protocol;
  private final LongSupplier clockNanos;
  private final RegistryLog log;
  private final Runnable afterEvent;
  private final Map<Long, RegistryHttpExchange> exchanges = new HashMap<>();
  private WatchSession session;

  /**
   * Creates an executor; {@link #attach} must be called before the first command.
   *
   * @param afterEvent runs after each event passed to the session, which may then need an earlier
   *     tick
   */
  WatchCommandExecutor(
      RegistryHttpClient client, LongSupplier clockNanos, RegistryLog log, Runnable afterEvent) {
    this.client = client;
    protocol = client.protocol();
    this.clockNanos = clockNanos;
    this.log = log;
    this.afterEvent = afterEvent;
  }

  /** Sets the session that receives the responses. */
  void attach(WatchSession commanding) {
    session = commanding;
  }

  /** Cancels all open requests. */
  void close() {
    exchanges.values().forEach(RegistryHttpExchange::cancel);
    exchanges.clear();
  }

  /** Decodes the response to one call and passes it to the session. */
  private abstract class CallHandler implements RegistryHttpClient.ResponseHandler {
    final long call;

    CallHandler(long call) {
      this.call = call;
    }

    /** Decodes a complete response and passes it to the session. */
    abstract void decode(int status, MultiMap headers, byte[] body);

    @Override
    public void completed(int status, MultiMap headers, byte[] body) {
      exchanges.remove(call);
      handle(
          () -> {
            if (protocol.isCompacted(status, body)) {
              session.compacted(clockNanos.getAsLong(), call);
            } else {
              decode(status, headers, body);
            }
          });
    }

    /** Runs a decoder; a response that it can't decode fails this call alone. */
    void handle(Runnable decoding) {
      try {
        decoding.run();
      } catch (InvalidDocumentException e) {
        log.info(e.getMessage());
        cancel(call);
        session.callFailed(clockNanos.getAsLong(), call, RegistryFailure.UNREADABLE, 0);
      }
      afterEvent.run();
    }

    @Override
    public void failed(RegistryFailure why, long retryAfterNanos) {
      exchanges.remove(call);
      session.callFailed(clockNanos.getAsLong(), call, why, retryAfterNanos);
      afterEvent.run();
    }
  }

  /** Handles the pages of a list. */
  private class PageHandler extends CallHandler {
    PageHandler(long call) {
      super(call);
    }

    @Override
    void decode(int status, MultiMap headers, byte[] body) {
      RegistryPage page = protocol.decodePage(status, headers, body);
      session.pageReceived(
          clockNanos.getAsLong(),
          call,
          page.header(),
          page.entries(),
          page.hasMore(),
          page.totalCount());
    }
  }

  /** Handles a watch: a stream of frames, or the single page of a blocking read. */
  private final class WatchHandler extends PageHandler {
    WatchHandler(long call) {
      super(call);
    }

    @Override
    public void line(byte[] line) {
      handle(() -> frame(protocol.decodeFrame(line)));
    }

    private void frame(RegistryProtocol.Frame frame) {
      long nowNanos = clockNanos.getAsLong();
      if (frame instanceof RegistryProtocol.Frame.Opened opened) {
        session.watchOpened(nowNanos, call, opened.header());
      } else if (frame instanceof RegistryProtocol.Frame.Events events) {
        session.eventsReceived(nowNanos, call, events.header(), events.events(), events.partial());
      } else if (frame instanceof RegistryProtocol.Frame.Compacted) {
        cancel(call);
        session.compacted(nowNanos, call);
      } else if (frame instanceof RegistryProtocol.Frame.Ended ended) {
        cancel(call);
        session.callFailed(nowNanos, call, ended.why(), 0);
      }
    }
  }

  private void send(
      int endpoint,
      RegistryProtocol.Request request,
      RegistryHttpClient.ResponseKind kind,
      CallHandler handler) {
    exchanges.put(handler.call, client.send(endpoint, request, kind, handler));
  }

  @Override
  public void list(long call, int endpoint, long revision, String after, long since, int limit) {
    send(
        endpoint,
        protocol.listRequest(revision, after, since, limit),
        RegistryHttpClient.ResponseKind.COMPLETE,
        new PageHandler(call));
  }

  @Override
  public void watch(long call, int endpoint, long from) {
    send(endpoint, protocol.watchRequest(from), protocol.watchResponse(), new WatchHandler(call));
  }

  @Override
  public void heartbeat(long call, int endpoint) {
    send(
        endpoint,
        protocol.heartbeatRequest(),
        RegistryHttpClient.ResponseKind.COMPLETE,
        new CallHandler(call) {
          @Override
          void decode(int status, MultiMap headers, byte[] body) {
            RegistryProtocol.Heartbeat heartbeat = protocol.decodeHeartbeat(status, headers, body);
            session.heartbeatReceived(
                clockNanos.getAsLong(), call, heartbeat.header(), heartbeat.tipRevision());
          }
        });
  }

  @Override
  public void cancel(long call) {
    RegistryHttpExchange exchange = exchanges.remove(call);
    if (exchange != null) {
      exchange.cancel();
    }
  }
}
