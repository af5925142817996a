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
import org.amberpath.gateway.settings.JsonReader;

/** Hosts many gateways on the bench's wire: one line in, one line out, until the input ends. */
public final class SimulationHost {
  private final JsonFactory json = new JsonFactory();
  private final BufferedReader in;
  private final OutputStream out;
  private final PrintStream err;
  private final Map<Integer, SimulatedGateway> gateways = new HashMap<>();

  public SimulationHost(InputStream in, OutputStream out, PrintStream err) {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    this.out = out;
    this.err = err;
  }

  /** Answers every line; returns the exit code. */
  public int run() throws IOException {
    ByteArrayOutputStream reply = new ByteArrayOutputStream(1 << 16);
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      reply.reset();
      try {
        answer(line, reply);
      } catch (JsonProcessingException e) {
        err.println("batch: not JSON: " + e.getOriginalMessage());
        return 1;
      } catch (JsonReader.Malformed e) {
        err.println(e.getMessage());
        return 1;
      }
      reply.write('\n');
      reply.writeTo(out);
      out.flush();
    }
    return 0;
  }

  private void answer(String line, OutputStream reply) throws IOException {
    JsonReader batch;
    try (JsonParser parser = json.createParser(line)) {
      batch = JsonReader.read("batch", parser);
    }
    long now = batch.time("wall-s");
    try (JsonGenerator to = json.createGenerator(reply)) {
      to.writeStartObject();
      to.writeArrayFieldStart("parts");
      for (JsonReader part : batch.each("parts")) {
        play(now, part.place("i", 0), part.each("news"), to);
      }
      to.writeEndArray();
      to.writeEndObject();
    }
  }

  /** What came before a gateway's last start or stop in the round died with it. */
  private void play(long now, int number, List<JsonReader> news, JsonGenerator to)
      throws IOException {
    int from = 0;
    for (int at = 0; at < news.size(); at++) {
      String verb = news.get(at).text("verb");
      if (verb.equals("up")) {
        gateways.put(number, new SimulatedGateway(number, news.get(at).named("up")));
        from = at + 1;
      } else if (verb.equals("stop")) {
        gateways.remove(number);
        from = at + 1;
      }
    }
    SimulatedGateway gateway = gateways.get(number);
    if (gateway != null) {
      gateway.round(now, news.subList(from, news.size()), to);
    }
  }
}
