package org.amberpath.gateway.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the simulator's protocol: replies to batches, and the exit code and message after invalid
 * input.
 */
class SimulationHostTest {
  private static final String UP_AND_VIEW =
      """
      {"verb":"up","seed":1,"profile-data":{"my-zone":"z","kinds":["box"],
      "classes":[{"name":"pages",
      "idempotency":"repeatable","target-s":0.2}],"bounds":{"max-attempts":2}}},
      {"verb":"view","scope":"C","rev":1,"members-list":[{"cache":"10.0.0.1:90",
      "az":"z","flavor":"box",
      "cohort":0,"state":"U"}]}\
      """;
  private static final String ORDER =
      "{\"verb\":\"order\",\"op-id\":77,\"tier-class\":\"pages\",\"resource\":5,"
          + "\"time-budget-s\":0.25}";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... lines) throws IOException {
    byte[] in = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
    return new SimulationHost(
            new ByteArrayInputStream(in), out, new PrintStream(err, true, StandardCharsets.UTF_8))
        .run();
  }

  private static String batch(String events) {
    return ("{\"wall-s\":8.5,\"parts\":[{\"i\":3,\"news\":[" + events + "]}]}").replace("\n", "");
  }

  @Test
  void requestIsForwardedAndEndOfInputExitsWithCodeZero() throws IOException {
    assertEquals(0, run("{\"wall-s\":8.4,\"parts\":[]}", batch(UP_AND_VIEW + "," + ORDER)));
    String[] replies = out.toString(StandardCharsets.UTF_8).split("\n", -1);
    assertEquals("{\"parts\":[]}", replies[0]);
    assertTrue(
        replies[1].startsWith(
            "{\"parts\":[{\"i\":3,\"cmds\":[{\"verb\":\"serve-via\",\"op-id\":77,"
                + "\"cache\":\"10.0.0.1:90\",\"try-until-s\":8.750000,"
                + "\"supplier\":\"10.0.0.1:90\""),
        replies[1]);
  }

  @Test
  void eventsBeforeAStartInTheSameRoundAreIgnored() throws IOException {
    run(batch(UP_AND_VIEW), batch(ORDER + ",{\"verb\":\"stop\"}," + UP_AND_VIEW));
    assertFalse(out.toString(StandardCharsets.UTF_8).contains("op-id"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{nonsense | batch: not JSON",
        "[] | batch: not an object",
        "{\"parts\":[]} | batch: field 'wall-s' is missing",
        "{\"verb\":\"dance\"} | unknown: dance",
        "{\"verb\":\"order\",\"op-id\":\"x\",\"tier-class\":\"pages\"} "
            + "| order: field 'op-id' is not a whole number",
        "{\"verb\":\"order\",\"op-id\":1,\"tier-class\":\"plays\"} "
            + "| order: field 'tier-class' is not a configured traffic class: plays",
        "{\"verb\":\"verdict\",\"op-id\":1,\"rc\":\"served\",\"cache\":\"10.9.9.9:1\"} "
            + "| verdict: field 'cache' is not a listed cache: 10.9.9.9:1",
        "{\"verb\":\"view\",\"scope\":\"Q\"} | view: field 'scope' is unknown: Q",
        "{\"wall-s\":1,\"parts\":[]}{} | batch: more than one JSON value"
      })
  void invalidInputExitsWithCodeOneAndOneMessage(String line, String message) throws IOException {
    assertEquals(1, run(batch(UP_AND_VIEW), line.contains("verb") ? batch(line) : line));
    String messages = err.toString(StandardCharsets.UTF_8);
    assertTrue(messages.contains(message), messages);
    assertEquals(1, messages.lines().count());
    assertEquals(1, out.toString(StandardCharsets.UTF_8).lines().count());
  }
}
