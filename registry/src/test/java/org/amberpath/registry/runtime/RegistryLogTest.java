package org.amberpath.registry.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the limit on log lines per period. */
class RegistryLogTest {
  @Test
  void linesBeyondTheLimitAreCountedUntilThePeriodEnds() {
    CapturedLog captured = new CapturedLog();
    try {
      RegistryLog log = new RegistryLog();
      for (int line = 0; line < 11; line++) {
        log.info("line " + line);
      }
      log.endPeriod();
      log.info("next");
      assertEquals(10, captured.lines.size());
      assertEquals("INFO registry: line 7", captured.lines.get(7));
      assertEquals("INFO registry: 3 more lines were not logged", captured.lines.get(8));
      assertEquals("INFO registry: next", captured.lines.get(9));
    } finally {
      captured.close();
    }
  }
}
