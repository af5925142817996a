package org.amberpath.gateway.simulation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.gateway.settings.JsonRoutingConfig;
import org.amberpath.routing.RequestRouter;
import org.amberpath.routing.RoutingActions;
import org.amberpath.routing.RoutingEvents;

/**
 * One gateway on the bench's wire: decodes its events into callbacks and writes its decisions down.
 */
final class SimulatedGateway implements RoutingActions {
  private final int number;
  private final JsonRoutingConfig site;
  private final RequestRouter router;
  private final Map<String, Integer> caches = new HashMap<>();
  private final List<String> addresses = new ArrayList<>();
  private JsonGenerator reply;
  private boolean begun;

  SimulatedGateway(int number, JsonReader up) {
    this.number = number;
    site = new JsonRoutingConfig(up.whole("seed"), up.fields("profile-data"));
    router = new RequestRouter(site);
  }

  /** Plays a round's events and writes the part of the reply that answers them, if any. */
  void round(long now, List<JsonReader> news, JsonGenerator to) throws IOException {
    reply = to;
    begun = false;
    try {
      router.round(now, events -> news.forEach(event -> decode(event, events)), this);
    } catch (JsonReader.Malformed | UncheckedIOException e) {
      throw e;
    } catch (RuntimeException e) {
      e.printStackTrace();
      act("broken", () -> reply.writeStringField("body-text", String.valueOf(e)));
    }
    if (begun) {
      reply.writeEndArray();
      reply.writeEndObject();
    }
  }

  private void decode(JsonReader event, RoutingEvents.Events to) {
    switch (event.text("verb")) {
      case "view":
        view(event.named("view"), to);
        break;
      case "order":
        order(event.named("order"), to);
        break;
      case "verdict":
        JsonReader verdict = event.named("verdict");
        to.ended(
            verdict.whole("op-id"),
            verdict.place("copy", 0),
            cache(verdict),
            outcome(verdict),
            verdict.timeOr("rtt-s", 0),
            verdict.flag("settled"),
            note(verdict));
        break;
      case "head-received":
        JsonReader head = event.named("head-received");
        to.begun(head.whole("op-id"), head.place("copy", 0));
        break;
      case "cancelled-by-client":
        to.left(event.named("cancelled-by-client").whole("op-id"));
        break;
      case "expired-now":
        JsonReader purge = event.named("expired-now");
        to.purged(
            purge.wholeOr("resource", 0), purge.place("tag", 0), purge.timeOr("oldness-s", 0));
        break;
      case "ring":
        to.woken(event.named("ring").text("handle"));
        break;
      case "status-back":
      case "heard":
        break;
      default:
        throw event.wrong("verb", "unknown: " + event.text("verb"));
    }
  }

  private void view(JsonReader view, RoutingEvents.Events to) {
    String scope = view.text("scope");
    switch (scope) {
      case "D":
        to.listing(RoutingEvents.Listing.CHANGES);
        break;
      case "F":
      case "C":
        to.listing(RoutingEvents.Listing.FULL);
        break;
      case "X":
        to.listing(RoutingEvents.Listing.NONE);
        break;
      default:
        throw view.wrong("scope", "of no known kind: " + scope);
    }
    for (JsonReader entry : view.each("members-list")) {
      int place =
          caches.computeIfAbsent(
              entry.text("cache"),
              address -> {
                addresses.add(address);
                return addresses.size() - 1;
              });
      to.member(
          place,
          entry.text("cache"),
          entry.has("az") ? entry.text("az") : "",
          entry.has("flavor") ? entry.text("flavor") : "",
          entry.place("cohort", 0),
          state(entry),
          entry.numberOr("power-hint", 1),
          entry.timeOr("came-up-s", 0));
    }
    to.listed();
  }

  private void order(JsonReader order, RoutingEvents.Events to) {
    int ds = site.service(order.text("tier-class"));
    if (ds < 0) {
      throw order.wrong("tier-class", "no known delivery service: " + order.text("tier-class"));
    }
    to.get(
        order.whole("op-id"),
        ds,
        order.wholeOr("resource", 0),
        order.place("batch-id", 0),
        order.place("range-no", 0),
        order.time("time-budget-s"),
        order.numberOr("kb", 0),
        order.flag("is-write"));
  }

  private int cache(JsonReader event) {
    Integer place = caches.get(event.text("cache"));
    if (place == null) {
      throw event.wrong("cache", "no known cache: " + event.text("cache"));
    }
    return place;
  }

  private static RoutingEvents.State state(JsonReader entry) {
    switch (entry.text("state")) {
      case "U":
        return RoutingEvents.State.UP;
      case "L":
        return RoutingEvents.State.DRAINING;
      case "D":
        return RoutingEvents.State.GONE;
      default:
        throw entry.wrong("state", "of no known kind: " + entry.text("state"));
    }
  }

  private static RoutingEvents.Outcome outcome(JsonReader verdict) {
    switch (verdict.text("rc")) {
      case "served":
        return RoutingEvents.Outcome.RETURNED;
      case "server_error":
        return RoutingEvents.Outcome.ERRORED;
      case "turned_away":
        return RoutingEvents.Outcome.TURNED_AWAY;
      case "no_answer":
        return RoutingEvents.Outcome.NO_ANSWER;
      case "no_connection":
        return RoutingEvents.Outcome.NO_CONNECTION;
      case "connection_lost":
        return RoutingEvents.Outcome.LOST;
      case "called_off":
        return RoutingEvents.Outcome.CALLED_OFF;
      case "not_sent":
        return RoutingEvents.Outcome.NOT_SENT;
      case "not_stored":
        return RoutingEvents.Outcome.NOT_STORED;
      default:
        throw verdict.wrong("rc", "of no known kind: " + verdict.text("rc"));
    }
  }

  private static RoutingEvents.Note note(JsonReader verdict) {
    int note = verdict.place("remark", 0);
    RoutingEvents.Note[] all = RoutingEvents.Note.values();
    return note > 0 && note < all.length ? all[note] : RoutingEvents.Note.NOTHING;
  }

  @Override
  public void forward(
      long get, int cache, long until, int source, long age, int rank, int switches) {
    act(
        "serve-via",
        () -> {
          reply.writeNumberField("op-id", get);
          reply.writeStringField("cache", addresses.get(cache));
          time("try-until-s", until);
          reply.writeStringField("supplier", addresses.get(source));
          if (age > 0) {
            time("oldness-s", age);
          }
          reply.writeNumberField("hold-rank", rank);
          reply.writeNumberField("switches", switches);
        });
  }

  @Override
  public void shed(long get, long wait) {
    act(
        "overload-reply",
        () -> {
          reply.writeNumberField("op-id", get);
          if (wait > 0) {
            time("wait-s", wait);
          }
        });
  }

  @Override
  public void errored(long get) {
    act("abort", () -> reply.writeNumberField("op-id", get));
  }

  @Override
  public void callOff(long get, int copy) {
    act(
        "call-off",
        () -> {
          reply.writeNumberField("op-id", get);
          reply.writeNumberField("copy", copy);
        });
  }

  @Override
  public void wake(long delay, String handle) {
    act(
        "remind",
        () -> {
          time("delay-s", delay);
          reply.writeStringField("handle", handle);
        });
  }

  @Override
  public void watchList() {
    act("keep-informed", () -> reply.writeBooleanField("enable", true));
  }

  /** Writes the fields of one action. */
  private interface Body {
    void write() throws IOException;
  }

  private void act(String verb, Body body) {
    try {
      if (!begun) {
        begun = true;
        reply.writeStartObject();
        reply.writeNumberField("i", number);
        reply.writeArrayFieldStart("cmds");
      }
      reply.writeStartObject();
      reply.writeStringField("verb", verb);
      body.write();
      reply.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void time(String key, long nanos) throws IOException {
    reply.writeFieldName(key);
    reply.writeNumber(BigDecimal.valueOf(nanos / 1000, 6));
  }
}
