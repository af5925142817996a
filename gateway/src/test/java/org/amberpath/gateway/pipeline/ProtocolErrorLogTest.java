package org.amberpath.gateway.pipeline;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the lines that the log of protocol errors writes, at most one for each sweep. */
class ProtocolErrorLogTest {
  private static final Logger LOGGER = Logger.getLogger(ProtocolErrorLog.class.getName());

  private final List<String> lines = new ArrayList<>();
  private final Handler handler =
      new Handler() {
        @Override
        public void publish(LogRecord record) {
          lines.add(record.getLevel() + " " + record.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };

  @BeforeEach
  void addHandler() {
    LOGGER.addHandler(handler);
  }

  @AfterEach
  void removeHandler() {
    LOGGER.removeHandler(handler);
  }

  @Test
  void sweepLogsTheCountAndTheLastError() {
    ProtocolErrorLog errors = new ProtocolErrorLog();
    errors.flush();
    errors.add("client a", "fields: not a map");
    errors.flush();
    errors.flush();
    errors.add("client a", "fields: not a map");
    errors.add("client b", "body: not bytes");
    errors.flush();

    assertEquals(
        List.of(
            "WARNING protocol error: client a: fields: not a map",
            "WARNING 2 protocol errors, last: client b: body: not bytes"),
        lines);
  }

  @Test
  void longErrorIsTruncated() {
    ProtocolErrorLog errors = new ProtocolErrorLog();
    errors.add("peer", "x".repeat(1000));
    errors.flush();

    assertEquals(List.of("WARNING protocol error: peer: " + "x".repeat(194)), lines);
  }
}
