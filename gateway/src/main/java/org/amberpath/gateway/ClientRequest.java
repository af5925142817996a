package org.amberpath.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.DecodedRequest;
import org.amberpath.routing.SocketReads;

/** One GET from its last byte to its final answer and the end of its last forward. */
final class ClientRequest {
  final long id;
  final ClientConnection client;
  final long number;
  final DecodedRequest asked;
  final String ref;
  final int ds;
  final long due;
  final List<AttemptSender.Sent> forwards = new ArrayList<>(1);

  /** Forwards out, and events on the way to the decisions. */
  int out, events;

  boolean answered;

  /** When it was read. */
  long takenAt;

  /** With what it waited unread, if it did; and whether its connection was read on since. */
  SocketReads.Backlog backlog;

  boolean settled;
  long backstop = -1;

  /** When the last forward may begin. */
  long sendBy = Long.MAX_VALUE;

  /** Whether a cache has answered it, also that it has not what was asked for. */
  boolean heard;

  /** Hears how it ended, where it is of this gateway's own and no client's; null otherwise. */
  final Consumer<FleetCoordinator.Own> own;

  ClientRequest(
      long id, ClientConnection client, long number, DecodedRequest asked, int ds, long due) {
    this(id, client, number, asked, ds, due, null);
  }

  /** One of this gateway's own. */
  ClientRequest(
      long id, DecodedRequest asked, int ds, long due, Consumer<FleetCoordinator.Own> own) {
    this(id, null, id, asked, ds, due, own);
  }

  private ClientRequest(
      long id,
      ClientConnection client,
      long number,
      DecodedRequest asked,
      int ds,
      long due,
      Consumer<FleetCoordinator.Own> own) {
    this.own = own;
    this.id = id;
    this.client = client;
    this.number = number;
    this.asked = asked;
    ref = new String(asked.requestId(), StandardCharsets.ISO_8859_1);
    this.ds = ds;
    this.due = due;
  }
}
