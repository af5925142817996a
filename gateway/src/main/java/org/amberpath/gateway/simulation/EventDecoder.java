package org.amberpath.gateway.simulation;

import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.gateway.settings.JsonRoutingConfig;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.ResponseDetail;
import org.amberpath.routing.RoutingEventHandler;

/**
 * Decodes the simulator's events for one gateway and passes them to the router's event handler. An
 * unknown or invalid event throws {@link org.amberpath.gateway.settings.InvalidDocumentException},
 * on which the {@link SimulationHost} exits.
 */
final class EventDecoder {
  private final JsonRoutingConfig config;
  private final CacheIndex caches;

  /**
   * Creates a decoder for one gateway.
   *
   * @param config the gateway's configuration, for the names of traffic classes
   * @param caches receives the address of each listed cache
   */
  EventDecoder(JsonRoutingConfig config, CacheIndex caches) {
    this.config = config;
    this.caches = caches;
  }

  /** Decodes one event; {@code status-back} and {@code heard} do not reach the router. */
  void decode(JsonReader event, RoutingEventHandler handler) {
    switch (event.string("verb")) {
      case "view" -> decodeEndpointList(event.named("view"), handler);
      case "order" -> decodeRequest(event.named("order"), handler);
      case "verdict" -> decodeOutcome(event.named("verdict"), handler);
      case "head-received" -> {
        JsonReader head = event.named("head-received");
        handler.responseStarted(head.longValue("op-id"), head.intOr("copy", 0));
      }
      case "cancelled-by-client" ->
          handler.clientDisconnected(event.named("cancelled-by-client").longValue("op-id"));
      case "expired-now" -> decodePurge(event.named("expired-now"), handler);
      case "ring" -> handler.timerFired(event.named("ring").string("handle"));
      case "status-back", "heard" -> {}
      default -> throw event.invalid("verb", "unknown: " + event.string("verb"));
    }
  }

  private void decodeEndpointList(JsonReader view, RoutingEventHandler handler) {
    handler.endpointListStarted(listKind(view));
    for (JsonReader entry : view.objects("members-list")) {
      handler.endpointListed(
          new EndpointDescription(
              caches.add(entry.string("cache")),
              entry.string("cache"),
              entry.has("az") ? entry.string("az") : "",
              entry.has("flavor") ? entry.string("flavor") : "",
              entry.intOr("cohort", 0),
              endpointState(entry),
              entry.doubleOr("power-hint", 1),
              entry.durationNanosOr("came-up-s", 0)));
    }
    handler.endpointListCompleted();
  }

  private void decodeRequest(JsonReader order, RoutingEventHandler handler) {
    int trafficClass = config.trafficClassIndex(order.string("tier-class"));
    if (trafficClass < 0) {
      throw order.invalid(
          "tier-class", "not a configured traffic class: " + order.string("tier-class"));
    }
    handler.requestReceived(
        new RequestDetails(
            order.longValue("op-id"),
            trafficClass,
            order.longOr("resource", 0),
            order.intOr("batch-id", 0),
            order.intOr("range-no", 0),
            order.durationNanos("time-budget-s"),
            order.doubleOr("kb", 0),
            order.booleanOrFalse("is-write")));
  }

  private void decodeOutcome(JsonReader verdict, RoutingEventHandler handler) {
    handler.attemptEnded(
        new AttemptResult(
            verdict.longValue("op-id"),
            verdict.intOr("copy", 0),
            cacheIndex(verdict),
            decodeOutcome(verdict),
            verdict.durationNanosOr("rtt-s", 0),
            verdict.booleanOrFalse("settled"),
            responseDetail(verdict)));
  }

  private static void decodePurge(JsonReader purge, RoutingEventHandler handler) {
    handler.objectPurged(
        purge.longOr("resource", 0), purge.intOr("tag", 0), purge.durationNanosOr("oldness-s", 0));
  }

  private int cacheIndex(JsonReader event) {
    String address = event.string("cache");
    if (!caches.contains(address)) {
      throw event.invalid("cache", "not a listed cache: " + address);
    }
    return caches.indexOf(address);
  }

  private static EndpointListKind listKind(JsonReader view) {
    return switch (view.string("scope")) {
      case "D" -> EndpointListKind.CHANGES;
      case "F", "C" -> EndpointListKind.FULL;
      case "X" -> EndpointListKind.NONE;
      default -> throw unknownValue(view, "scope");
    };
  }

  private static EndpointState endpointState(JsonReader entry) {
    return switch (entry.string("state")) {
      case "U" -> EndpointState.UP;
      case "L" -> EndpointState.DRAINING;
      case "D" -> EndpointState.GONE;
      default -> throw unknownValue(entry, "state");
    };
  }

  private static AttemptOutcome decodeOutcome(JsonReader verdict) {
    return switch (verdict.string("rc")) {
      case "served" -> AttemptOutcome.SUCCEEDED;
      case "server_error" -> AttemptOutcome.FAILED;
      case "turned_away" -> AttemptOutcome.REJECTED;
      case "no_answer" -> AttemptOutcome.TIMED_OUT;
      case "no_connection" -> AttemptOutcome.CONNECT_FAILED;
      case "connection_lost" -> AttemptOutcome.CONNECTION_LOST;
      case "called_off" -> AttemptOutcome.CANCELLED;
      case "not_sent" -> AttemptOutcome.NOT_SENT;
      case "not_stored" -> AttemptOutcome.NOT_CACHED;
      default -> throw unknownValue(verdict, "rc");
    };
  }

  private static RuntimeException unknownValue(JsonReader object, String key) {
    return object.invalid(key, "unknown: " + object.string(key));
  }

  private static ResponseDetail responseDetail(JsonReader verdict) {
    int index = verdict.intOr("remark", 0);
    ResponseDetail[] details = ResponseDetail.values();
    return index > 0 && index < details.length ? details[index] : ResponseDetail.NONE;
  }
}
