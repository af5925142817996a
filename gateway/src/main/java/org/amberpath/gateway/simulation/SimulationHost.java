package org.amberpath.gateway.simulation;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amberpath.gateway.settings.InvalidDocumentException;
import org.amberpath.gateway.settings.JsonReader;

/**
 * Runs many simulated gateways in one process and speaks the simulator's protocol of JSON lines:
 * each input line holds a batch of events with its simulated time, and is answered by one output
 * line with the actions. Blocks the calling thread until the input ends.
 */
public final class SimulationHost {
  private static final int EXIT_OK = 0;
  private static final int EXIT_INVALID_INPUT = 1;
  private static final int BUFFER_BYTES = 1 << 16;

  private final JsonFactory jsonFactory = new JsonFactory();
  private final BufferedReader in;
  private final OutputStream out;
  private final PrintStream err;
  private final Map<Integer, SimulatedGateway> gateways = new HashMap<>();

  /**
   * Creates a host without gateways.
   *
   * @param err receives one line on invalid input
   */
  public SimulationHost(InputStream in, OutputStream out, PrintStream err) {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_BYTES);
    this.out = out;
    this.err = err;
  }

  /**
   * Answers the input line by line.
   *
   * @return the exit code: 0 at the end of the input, 1 after an invalid line, which is not
   *     answered
   * @throws IOException if reading or writing fails
   */
  public int run() throws IOException {
    ByteArrayOutputStream reply = new ByteArrayOutputStream(BUFFER_BYTES);
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      reply.reset();
      try {
        answerBatch(line, reply);
      } catch (JsonProcessingException e) {
        err.println("batch: not JSON: " + e.getOriginalMessage());
        return EXIT_INVALID_INPUT;
      } catch (InvalidDocumentException e) {
        err.println(e.getMessage());
        return EXIT_INVALID_INPUT;
      }
      reply.write('\n');
      reply.writeTo(out);
      out.flush();
    }
    return EXIT_OK;
  }

  private void answerBatch(String line, OutputStream reply) throws IOException {
    JsonReader batch;
    try (JsonParser parser = jsonFactory.createParser(line)) {
      batch = JsonReader.read("batch", parser);
    }
    long nowNanos = batch.durationNanos("wall-s");
    try (JsonGenerator generator = jsonFactory.createGenerator(reply)) {
      generator.writeStartObject();
      generator.writeArrayFieldStart("parts");
      for (JsonReader part : batch.objects("parts")) {
        routeBatch(nowNanos, part.intOr("i", 0), part.objects("news"), generator);
      }
      generator.writeEndArray();
      generator.writeEndObject();
    }
  }

  /**
   * Applies the starts and stops of one gateway in this batch, then routes the events that follow
   * the last of them. Events before it are skipped: they belong to the gateway instance that the
   * start or stop has ended.
   */
  private void routeBatch(
      long nowNanos, int gatewayNumber, List<JsonReader> events, JsonGenerator reply)
      throws IOException {
    int firstIndex = 0;
    for (int index = 0; index < events.size(); index++) {
      String verb = events.get(index).string("verb");
      if (verb.equals("up")) {
        gateways.put(
            gatewayNumber, new SimulatedGateway(gatewayNumber, events.get(index).named("up")));
        firstIndex = index + 1;
      } else if (verb.equals("stop")) {
        gateways.remove(gatewayNumber);
        firstIndex = index + 1;
      }
    }
    SimulatedGateway gateway = gateways.get(gatewayNumber);
    if (gateway != null) {
      gateway.routeBatch(nowNanos, events.subList(firstIndex, events.size()), reply);
    }
  }
}
