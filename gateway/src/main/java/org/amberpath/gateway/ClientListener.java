package org.amberpath.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.WriteBufferAccounting;
import org.amberpath.gateway.pipeline.PipelineContext;
import org.amberpath.gateway.pipeline.RequestPipeline;
import org.amberpath.gateway.transport.AcceptLimit;
import org.amberpath.gateway.transport.SingleEventLoopTransport;

/** The listening socket for clients. */
final class ClientListener {
  private static final int ACCEPT_BACKLOG = 1024;

  /**
   * Connections that are accepted above the bound on clients, out of the runtime's descriptors.
   * Without one for a new connection the least useful one would never be evicted, which takes 2 ms;
   * with few of them a crowd waits long in the accept queue.
   */
  private static final int EXTRA_ACCEPTED = 12;

  private final GatewayOptions options;
  private final RequestPipeline pipeline;
  private final WriteBufferAccounting writeBuffers;
  private final NetServer server;

  ClientListener(GatewayOptions options, RequestPipeline pipeline) {
    this.options = options;
    this.pipeline = pipeline;
    writeBuffers =
        new WriteBufferAccounting(options.maxUnreadBytesPerClient(), options.maxUnreadBytes());
    Vertx vertx = pipeline.context().vertx();
    server = vertx.createNetServer(new NetServerOptions().setAcceptBacklog(ACCEPT_BACKLOG));
    server.connectHandler(this::accept);
  }

  private void accept(NetSocket socket) {
    PipelineContext context = pipeline.context();
    ClientConnection client =
        new ClientConnection(
            socket, writeBuffers, context.clock()::nowNanos, pipeline.clientHandler());
    context.lagMonitor().accepted(client, AcceptLimit.queuedNanos(socket));
    pipeline.clients().add(client);
  }

  /** Binds the address of the options; a failure is an {@link IOException} that names it. */
  Future<Void> listen() {
    PipelineContext context = pipeline.context();
    SingleEventLoopTransport.limitNext(
        context.vertx(),
        new AcceptLimit(
            options.maxClientConnections() + EXTRA_ACCEPTED, context.clock()::nowNanos));
    return server
        .listen(options.listenAddress())
        .recover(
            e ->
                Future.failedFuture(
                    new IOException(
                        "PROXY_LISTEN: can't listen at "
                            + options.listenAddress()
                            + ": "
                            + e.getMessage(),
                        e)))
        .mapEmpty();
  }

  /** The port that is bound; may be called from any thread. */
  int port() {
    return server.actualPort();
  }

  /** Closes the listening socket and all connections. */
  Future<Void> close() {
    return server.close();
  }
}
