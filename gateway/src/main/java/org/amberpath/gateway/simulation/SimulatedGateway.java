package org.amberpath.gateway.simulation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.gateway.settings.JsonRoutingConfig;
import org.amberpath.routing.RequestRouter;

/**
 * One gateway of a simulation: its {@link RequestRouter}, the decoder of its events and the encoder
 * of its actions.
 */
final class SimulatedGateway {
  private final EventDecoder decoder;
  private final ActionEncoder encoder;
  private final RequestRouter router;

  /**
   * Creates a gateway in the state after its start: it knows no endpoints.
   *
   * @param gatewayNumber the simulator's number of the gateway
   * @param start the {@code up} event, with the gateway's seed and settings
   */
  SimulatedGateway(int gatewayNumber, JsonReader start) {
    JsonRoutingConfig config =
        new JsonRoutingConfig(start.longValue("seed"), start.object("profile-data"));
    CacheIndex caches = new CacheIndex();
    decoder = new EventDecoder(config, caches);
    encoder = new ActionEncoder(gatewayNumber, caches);
    router = new RequestRouter(config);
  }

  /**
   * Routes one batch of events and writes the resulting actions, if any, to the reply. An exception
   * of the router is printed to standard error and reported in the reply.
   *
   * @param nowNanos the simulated time in nanoseconds
   * @throws IOException if the reply cannot be written
   * @throws InvalidDocumentException if an event is invalid
   */
  void routeBatch(long nowNanos, List<JsonReader> events, JsonGenerator reply) throws IOException {
    encoder.beginBatch(reply);
    try {
      router.decide(
          nowNanos, handler -> events.forEach(event -> decoder.decode(event, handler)), encoder);
    } catch (InvalidDocumentException | UncheckedIOException e) {
      throw e;
    } catch (RuntimeException e) {
      e.printStackTrace();
      encoder.routerFailed(e);
    }
    encoder.finishBatch();
  }
}
