package org.amberpath.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.amberpath.gateway.client.MessageReader;
import org.amberpath.gateway.transport.ReceiveBufferAccounting;

/**
 * One client connection of a {@link LoadGenerator}. It reconnects {@value #RECONNECT_DELAY_MILLIS}
 * ms after a failed connection attempt or a close, until the load generator stops.
 */
final class LoadConnection {
  /** The limit that the client protocol sets for open requests on one connection. */
  private static final int MAX_PENDING = 32;

  private static final int MAX_MESSAGE_BYTES = 400_000;
  private static final int RECONNECT_DELAY_MILLIS = 100;

  private final Vertx vertx;
  private final NetClient client;
  private final int port;
  private final Consumer<LoadMessages.Response> responseListener;
  private final BooleanSupplier isStopped;

  /** The open socket; null while the connection is being established. */
  private NetSocket socket;

  private int pendingCount;

  LoadConnection(
      Vertx vertx,
      NetClient client,
      int port,
      Consumer<LoadMessages.Response> responseListener,
      BooleanSupplier isStopped) {
    this.vertx = vertx;
    this.client = client;
    this.port = port;
    this.responseListener = responseListener;
    this.isStopped = isStopped;
  }

  Future<NetSocket> connect() {
    return client
        .connect(port, "127.0.0.1")
        .onSuccess(this::onConnected)
        .onFailure(e -> vertx.setTimer(RECONNECT_DELAY_MILLIS, timer -> reconnect()));
  }

  private void reconnect() {
    if (!isStopped.getAsBoolean()) {
      connect();
    }
  }

  private void onConnected(NetSocket connectedSocket) {
    socket = connectedSocket;
    connectedSocket.exceptionHandler(e -> {});
    connectedSocket.closeHandler(
        closed -> {
          socket = null;
          vertx.setTimer(RECONNECT_DELAY_MILLIS, timer -> reconnect());
        });
    connectedSocket.handler(
        new MessageReader(
            MAX_MESSAGE_BYTES,
            new ReceiveBufferAccounting(MAX_MESSAGE_BYTES),
            new MessageReader.Sink() {
              @Override
              public boolean onMessage(byte[] bytes, int start, int end) {
                responseListener.accept(LoadMessages.decodeResponse(bytes, start, end));
                return true;
              }

              @Override
              public void onProtocolError(String reason) {
                connectedSocket.close();
              }
            }));
  }

  boolean canSend() {
    return socket != null && pendingCount < MAX_PENDING;
  }

  void send(Buffer request) {
    pendingCount++;
    socket.write(request);
  }

  void onRequestEnded() {
    pendingCount--;
  }
}
