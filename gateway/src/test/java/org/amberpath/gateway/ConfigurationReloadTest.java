package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.amberpath.gateway.testsupport.GatewayFixture;
import org.amberpath.gateway.testsupport.GatewayProcess;
import org.amberpath.gateway.testsupport.GatewayTestbed;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests configuration reloads of a gateway that runs in a separate process. */
@Timeout(30)
class ConfigurationReloadTest extends GatewayFixture {
  @Test
  void reloadMovesTheJournalAndAnInvalidConfigurationChangesNothing() throws Exception {
    GatewayTestbed otherTestbed = new GatewayTestbed();
    try {
      Process process = startProcess(0);
      Path file = folder.resolve("config.json");
      String validConfig = Files.readString(file);
      try (BufferedReader log = process.inputReader()) {
        awaitServing(log);
        for (String invalidConfig :
            List.of("{", validConfig.replace("\"journal\":\"", "\"journal\":\"x"))) {
          Files.writeString(file, invalidConfig);
          sendSighup(process);
          GatewayProcess.awaitLine(log, "SIGHUP: configuration unchanged: ");
        }
        Files.writeString(
            file, validConfig.replace(testbed.journal.address(), otherTestbed.journal.address()));
        sendSighup(process);
        GatewayProcess.awaitLine(log, "journal polled at");
        String poll = otherTestbed.journal.polls.poll(10, TimeUnit.SECONDS);
        assertTrue(poll != null && poll.startsWith("tail=2&"), poll);
      } finally {
        process.destroyForcibly();
      }
    } finally {
      otherTestbed.close();
    }
  }

  /**
   * Guards against a gateway that never loads a new configuration: a process started under nohup
   * inherits SIGHUP as ignored. Seen in the fleet bench's rolling configuration change when the
   * bench was started with nohup.
   */
  @Test
  void configurationIsReloadedWhenSighupIsIgnored() throws Exception {
    GatewayTestbed otherTestbed = new GatewayTestbed();
    Path file = Path.of(testbed.environment(folder).get("PROXY_CONFIG"));
    Process process =
        GatewayProcess.startWithHangUpIgnored(
            folder, Map.of("PROXY_LISTEN", "127.0.0.1:0", "PROXY_CONFIG", file.toString()));
    try (BufferedReader log = process.inputReader()) {
      GatewayProcess.awaitLine(log, "SIGHUP is ignored");
      awaitServing(log);
      sendSighup(process);
      Files.writeString(
          file,
          Files.readString(file)
              .replace(testbed.journal.address(), otherTestbed.journal.address()));
      GatewayProcess.awaitLine(log, "journal polled at");
      assertNotNull(otherTestbed.journal.polls.poll(10, TimeUnit.SECONDS));
    } finally {
      process.destroyForcibly();
      otherTestbed.close();
    }
  }
}
