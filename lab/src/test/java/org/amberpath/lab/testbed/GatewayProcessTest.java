package org.amberpath.lab.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks what a caller that waits for a port learns when the process ends instead. */
class GatewayProcessTest {
  private static final long TIMEOUT_SECONDS = 30;

  @TempDir Path folder;

  @Test
  void processThatEndsWithoutPortsFailsEachPort() throws Exception {
    Path log = folder.resolve("gateway.log");
    GatewayProcess process =
        new GatewayProcess(List.of("org.amberpath.lab.testbed.NoSuchMain"), Map.of(), log);
    String expected =
        "gateway process "
            + process.processId()
            + " ended before it logged all of its ports; see "
            + log;

    for (var port : List.of(process.clientPort(), process.fleetPort(), process.adminPort())) {
      ExecutionException error =
          assertThrows(ExecutionException.class, () -> port.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
      assertEquals(expected, error.getCause().getMessage());
    }
    process.awaitExit();
  }
}
