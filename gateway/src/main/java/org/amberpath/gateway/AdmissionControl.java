package org.amberpath.gateway;

import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.amberpath.gateway.client.ClientConnection;
import org.amberpath.gateway.client.DecodedRequest;
import org.amberpath.gateway.settings.JsonRoutingConfig;
import org.amberpath.routing.RequestDeadline;
import org.amberpath.routing.SocketReads;

/**
 * Second stage: what can't be meant for the decisions, or passes the bound told, is answered here.
 */
final class AdmissionControl {
  private static final Logger LOG = Logger.getLogger(AdmissionControl.class.getName());

  private final JsonRoutingConfig site;
  private final int mostOpen;
  private final InFlightRequests book;
  private final RoutingStage route;

  /** Own GETs are made of what it lets in; null where none are made. */
  private SyntheticRequests own;

  private SocketReads.Backlog lastBacklog;

  AdmissionControl(
      JsonRoutingConfig site, int mostOpen, InFlightRequests book, RoutingStage route) {
    this.site = site;
    this.mostOpen = mostOpen;
    this.book = book;
    this.route = route;
  }

  void showTo(SyntheticRequests to) {
    own = to;
  }

  /**
   * A request that was read now, by a loop that was so late. Its failure takes no other request's
   * answer.
   */
  void get(ClientConnection from, long number, DecodedRequest asked, long now, long lag) {
    SocketReads.Backlog backlog = backlog(from, now, lag);
    long due =
        RequestDeadline.of(
            now, backlog == null ? lag : now - backlog.since(), asked.timeoutNanos());
    int ds = site.trafficClass(asked.trafficClass());
    if (ds < 0) {
      from.rejectInvalidRequest(number, "no delivery service " + asked.trafficClass());
    } else if (book.holds(new String(asked.requestId(), StandardCharsets.ISO_8859_1))) {
      // Guards against an answer to one GET that is taken for another's.
      from.rejectInvalidRequest(number, "ref: open already");
    } else if (book.unanswered() >= mostOpen) {
      from.sendOverloaded(number, 0);
    } else if (RequestDeadline.isTooShort(due - now)) {
      from.sendOverloaded(number, 0);
    } else {
      ClientRequest get = new ClientRequest(book.nextId(), from, number, asked, ds, due);
      get.takenAt = now;
      get.backlog = backlog;
      book.open(get);
      route.get(get);
      saw(get);
    }
  }

  /**
   * With what a request waited unread, if the loop was late just now or the rest of that is still
   * being read.
   */
  private SocketReads.Backlog backlog(ClientConnection from, long now, long lag) {
    if (SocketReads.mustSettle(lag)) {
      lastBacklog = new SocketReads.Backlog(now - lag, now);
      return lastBacklog;
    }
    return lastBacklog != null && lastBacklog.mayGoOn(now) ? book.backlog(from, now) : null;
  }

  private void saw(ClientRequest get) {
    try {
      if (own != null) {
        own.saw(get);
      }
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "a request was not kept for synthetic ones", e);
    }
  }
}
