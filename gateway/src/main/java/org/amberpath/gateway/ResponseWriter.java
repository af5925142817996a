package org.amberpath.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;

/** Fifth stage: the one final answer of each GET goes to its client. */
final class ResponseWriter {
  private final Vertx vertx;
  private final InFlightRequests book;

  ResponseWriter(Vertx vertx, InFlightRequests book) {
    this.vertx = vertx;
    this.book = book;
  }

  /** The bytes as they came; null says that the client's own copy is the one. */
  void returned(ClientRequest get, Buffer body) {
    if (end(get)) {
      if (body == null) {
        get.client.sendNotModified(get.number);
      } else {
        get.client.sendBody(get.number, body);
      }
    }
  }

  void shed(ClientRequest get, long wait) {
    if (end(get)) {
      get.client.sendOverloaded(get.number, wait);
    }
  }

  void errored(ClientRequest get, String why) {
    if (end(get)) {
      get.client.sendError(get.number, why);
    }
  }

  /** No answer is owed any more. */
  void left(ClientRequest get) {
    end(get);
  }

  /** Whether a client is to hear of it. */
  private boolean end(ClientRequest get) {
    if (get == null || get.answered) {
      return false;
    }
    vertx.cancelTimer(get.backstop);
    book.answered(get);
    if (get.own != null) {
      get.own.accept(
          get.heard
              ? FleetCoordinator.Own.ANSWERED
              : get.forwards.isEmpty()
                  ? FleetCoordinator.Own.NOT_SENT
                  : FleetCoordinator.Own.SILENT);
    }
    return get.own == null;
  }
}
