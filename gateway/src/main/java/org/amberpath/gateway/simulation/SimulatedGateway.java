package org.amberpath.gateway.simulation;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.gateway.settings.JsonRoutingConfig;
import org.amberpath.routing.RequestRouter;

/** One gateway on the simulator's wire: its decisions, and the codec of its events and actions. */
final class SimulatedGateway {
  private final EventDecoder decoder;
  private final ActionEncoder encoder;
  private final RequestRouter router;

  /**
   * A gateway that has just started.
   *
   * @param number the simulator's number of it
   * @param start the event of its start, with its settings
   */
  SimulatedGateway(int number, JsonReader start) {
    JsonRoutingConfig config =
        new JsonRoutingConfig(start.longValue("seed"), start.object("profile-data"));
    CacheIndex caches = new CacheIndex();
    decoder = new EventDecoder(config, caches);
    encoder = new ActionEncoder(number, caches);
    router = new RequestRouter(config);
  }

  /**
   * Runs one round and writes its part of the reply, if it has any action.
   *
   * @param nowNanos the simulator's time
   * @throws IOException if the reply cannot be written
   */
  void round(long nowNanos, List<JsonReader> events, JsonGenerator reply) throws IOException {
    encoder.begin(reply);
    try {
      router.decide(nowNanos, to -> events.forEach(event -> decoder.decode(event, to)), encoder);
    } catch (InvalidDocumentException | UncheckedIOException e) {
      throw e;
    } catch (RuntimeException e) {
      e.printStackTrace();
      encoder.failed(e);
    }
    encoder.finish();
  }
}
