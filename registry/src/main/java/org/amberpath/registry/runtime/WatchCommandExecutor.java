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
  void attach(WatchSession watchSession) {
    session = watchSession;
  }

  /** Cancels all open requests. */
  void close() {
    exchanges.values().forEach(RegistryHttpExchange::cancel);
    exchanges.clear();
  }

  /** Decodes the response to one call and passes it to the session. */
  private abstract class CallHandler implements RegistryHttpClient.ResponseHandler {
    final long callId;

    CallHandler(long callId) {
      this.callId = callId;
    }

    /** Decodes a complete response and passes it to the session. */
    abstract void decode(int status, MultiMap headers, byte[] body);

    @Override
    public void completed(int status, MultiMap headers, byte[] body) {
      exchanges.remove(callId);
      runDecoder(
          () -> {
            if (protocol.isCompacted(status, body)) {
              session.compacted(clockNanos.getAsLong(), callId);
            } else {
              decode(status, headers, body);
            }
          });
    }

    /** Runs a decoder; a response that it can't decode fails this call alone. */
    void runDecoder(Runnable decoding) {
      try {
        decoding.run();
      } catch (InvalidDocumentException e) {
        log.info("a response can't be decoded: " + e.getMessage());
        cancel(callId);
        session.callFailed(clockNanos.getAsLong(), callId, RegistryFailure.UNREADABLE, 0);
      }
      afterEvent.run();
    }

    @Override
    public void failed(RegistryFailure failure, long retryAfterNanos) {
      exchanges.remove(callId);
      session.callFailed(clockNanos.getAsLong(), callId, failure, retryAfterNanos);
      afterEvent.run();
    }
  }

  /** Handles the pages of a list. */
  private class PageHandler extends CallHandler {
    PageHandler(long callId) {
      super(callId);
    }

    @Override
    void decode(int status, MultiMap headers, byte[] body) {
      RegistryPage page = protocol.decodePage(status, headers, body);
      session.pageReceived(
          clockNanos.getAsLong(),
          callId,
          page.header(),
          page.entries(),
          page.hasMore(),
          page.totalCount());
    }
  }

  /** Handles a watch: a stream of frames, or the single page of a blocking read. */
  private final class WatchHandler extends PageHandler {
    WatchHandler(long callId) {
      super(callId);
    }

    @Override
    public void line(byte[] line) {
      runDecoder(() -> handleFrame(protocol.decodeFrame(line)));
    }

    private void handleFrame(RegistryProtocol.Frame frame) {
      long nowNanos = clockNanos.getAsLong();
      if (frame instanceof RegistryProtocol.Frame.Opened opened) {
        session.watchOpened(nowNanos, callId, opened.header());
      } else if (frame instanceof RegistryProtocol.Frame.Events events) {
        session.eventsReceived(
            nowNanos, callId, events.header(), events.events(), events.partial());
      } else if (frame instanceof RegistryProtocol.Frame.Compacted) {
        cancel(callId);
        session.compacted(nowNanos, callId);
      } else if (frame instanceof RegistryProtocol.Frame.Ended ended) {
        cancel(callId);
        session.callFailed(nowNanos, callId, ended.failure(), 0);
      }
    }
  }

  private void send(
      int endpoint,
      RegistryProtocol.Request request,
      RegistryHttpClient.ResponseKind kind,
      CallHandler handler) {
    exchanges.put(handler.callId, client.send(endpoint, request, kind, handler));
  }

  @Override
  public void list(
      long callId, int endpoint, long revision, String afterKey, long sinceRevision, int pageSize) {
    send(
        endpoint,
        protocol.listRequest(revision, afterKey, sinceRevision, pageSize),
        RegistryHttpClient.ResponseKind.COMPLETE,
        new PageHandler(callId));
  }

  @Override
  public void watch(long callId, int endpoint, long fromRevision) {
    send(
        endpoint,
        protocol.watchRequest(fromRevision),
        protocol.watchResponseKind(),
        new WatchHandler(callId));
  }

  @Override
  public void heartbeat(long callId, int endpoint) {
    send(
        endpoint,
        protocol.heartbeatRequest(),
        RegistryHttpClient.ResponseKind.COMPLETE,
        new CallHandler(callId) {
          @Override
          void decode(int status, MultiMap headers, byte[] body) {
            RegistryProtocol.Heartbeat heartbeat = protocol.decodeHeartbeat(status, headers, body);
            session.heartbeatReceived(
                clockNanos.getAsLong(), callId, heartbeat.header(), heartbeat.tipRevision());
          }
        });
  }

  @Override
  public void cancel(long callId) {
    RegistryHttpExchange exchange = exchanges.remove(callId);
    if (exchange != null) {
      exchange.cancel();
    }
  }
}
