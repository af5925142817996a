package org.amberpath.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;

/** Fifth stage: the one final answer of each GET goes to its client. */
final class Relay {
  private final Vertx vertx;
  private final Book book;

  Relay(Vertx vertx, Book book) {
    this.vertx = vertx;
    this.book = book;
  }

  /** The bytes as they came; null says that the client's own copy is the one. */
  void returned(OpenGet get, Buffer body) {
    if (end(get)) {
      if (body == null) {
        get.client.returnedSame(get.number);
      } else {
        get.client.returned(get.number, body);
      }
    }
  }

  void shed(OpenGet get, long wait) {
    if (end(get)) {
      get.client.shed(get.number, wait);
    }
  }

  void errored(OpenGet get, String why) {
    if (end(get)) {
      get.client.errored(get.number, why);
    }
  }

  /** No answer is owed any more. */
  void left(OpenGet get) {
    end(get);
  }

  /** Whether a client is to hear of it. */
  private boolean end(OpenGet get) {
    if (get == null || get.answered) {
      return false;
    }
    vertx.cancelTimer(get.backstop);
    book.answered(get);
    if (get.own != null) {
      get.own.accept(get.heard ? Company.Own.ANSWERED : get.forwards.isEmpty() ? Company.Own.NOT_SENT
          : Company.Own.SILENT);
    }
    return get.own == null;
  }
}
