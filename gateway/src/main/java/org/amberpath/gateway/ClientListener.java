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
import org.amberpath.gateway.transport.ReceiveBufferAccounting;
import org.amberpath.gateway.transport.SingleEventLoopTransport;
import org.amberpath.routing.ResponseBufferLimit;

/** Listens on the gateway's address and accepts the connections of clients. */
final class ClientListener {
  private static final int ACCEPT_BACKLOG = 1024;

  /**
   * Connections that may be accepted above the limit on client connections; their descriptors come
   * from those reserved for the runtime. A new connection needs a descriptor before an existing one
   * is evicted for it, and an eviction takes 2 ms: with few of these descriptors, a burst of
   * connections waits long in the accept queue.
   */
  private static final int EXTRA_ACCEPTED_CONNECTIONS = 12;

  private final GatewayOptions options;
  private final RequestPipeline pipeline;
  private final WriteBufferAccounting writeBuffers;
  private final ReceiveBufferAccounting partialRequests;
  private final NetServer server;

  ClientListener(GatewayOptions options, RequestPipeline pipeline) {
    this.options = options;
    this.pipeline = pipeline;
    writeBuffers =
        new WriteBufferAccounting(
            new ResponseBufferLimit(options.memory().unreadResponseBytes()),
            pipeline.context().clock()::nowNanos);
    partialRequests = new ReceiveBufferAccounting(options.memory().partialRequestBytes());
    Vertx vertx = pipeline.context().vertx();
    server = vertx.createNetServer(new NetServerOptions().setAcceptBacklog(ACCEPT_BACKLOG));
    server.connectHandler(this::accept);
  }

  private void accept(NetSocket socket) {
    PipelineContext context = pipeline.context();
    ClientConnection client =
        new ClientConnection(
            socket,
            writeBuffers,
            partialRequests,
            context.clock()::nowNanos,
            pipeline.clientHandler());
    context.lagMonitor().connectionAccepted(client, AcceptLimit.queuedNanos(socket));
    pipeline.clients().add(client);
  }

  /**
   * Binds the listen address of the options and starts accepting connections. Where that fails, the
   * future fails with an {@link IOException} that names the address.
   */
  Future<Void> listen() {
    PipelineContext context = pipeline.context();
    SingleEventLoopTransport.limitNextServer(
        context.vertx(),
        new AcceptLimit(
            options.maxClientConnections() + EXTRA_ACCEPTED_CONNECTIONS,
            context.clock()::nowNanos));
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

  /** Returns the bound port; may be called from any thread. */
  int port() {
    return server.actualPort();
  }

  /** Closes the listening socket and all client connections. */
  Future<Void> close() {
    return server.close();
  }
}
