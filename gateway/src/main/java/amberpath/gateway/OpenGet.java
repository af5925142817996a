package amberpath.gateway;

import amberpath.msgpack.ClientConnection;
import amberpath.msgpack.ClientGet;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One GET from its last byte to its final answer and the end of its last forward. */
final class OpenGet {
  final long id;
  final ClientConnection client;
  final long number;
  final ClientGet asked;
  final String ref;
  final int ds;
  final long due;
  final List<Send.Sent> forwards = new ArrayList<>(1);
  /** Forwards out, and events on the way to the decisions. */
  int out, events;
  boolean answered;
  long backstop = -1;

  OpenGet(long id, ClientConnection client, long number, ClientGet asked, int ds, long due) {
    this.id = id;
    this.client = client;
    this.number = number;
    this.asked = asked;
    ref = new String(asked.ref(), StandardCharsets.ISO_8859_1);
    this.ds = ds;
    this.due = due;
  }
}
