package org.amberpath.membership.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.net.SocketAddress;
import java.util.function.Consumer;

/** The UDP socket of one gateway's membership. All methods are called on the event loop. */
final class MembershipSocket {
  private final Vertx vertx;
  private final DatagramCounters counters;
  private DatagramSocket socket;
  private Future<Void> lastSend = Future.succeededFuture();

  MembershipSocket(Vertx vertx, DatagramCounters counters) {
    this.vertx = vertx;
    this.counters = counters;
  }

  /** Binds the socket; the future completes with the bound address, as "host:port". */
  Future<String> listen(SocketAddress address) {
    socket = vertx.createDatagramSocket();
    return socket
        .listen(address.port(), address.hostAddress())
        .map(bound -> address.hostAddress() + ":" + bound.localAddress().port());
  }

  /** Passes each datagram received from now on to the receiver. */
  void receiveWith(Consumer<byte[]> receiver) {
    socket.handler(packet -> receiver.accept(packet.data().getBytes()));
    socket.exceptionHandler(failure -> counters.count(DatagramCounters.Result.NOT_SENT));
  }

  /** Sends a datagram to a numeric "host:port" address; delivery is not guaranteed. */
  void send(String address, byte[] datagram) {
    int colon = address.lastIndexOf(':');
    lastSend =
        socket.send(
            Buffer.buffer(datagram),
            Integer.parseInt(address.substring(colon + 1)),
            address.substring(0, colon));
    lastSend.onComplete(
        result ->
            counters.count(
                result.succeeded()
                    ? DatagramCounters.Result.SENT
                    : DatagramCounters.Result.NOT_SENT));
  }

  /** Closes the socket once the last send has completed; the future never fails. */
  Future<Void> close() {
    return lastSend.eventually(socket::close).otherwiseEmpty();
  }
}
