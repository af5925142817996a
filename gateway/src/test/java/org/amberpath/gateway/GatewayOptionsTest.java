package org.amberpath.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.amberpath.gateway.pipeline.CacheConnectionConfig;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the defaults of a gateway's options and the messages that name an invalid key. */
class GatewayOptionsTest {
  private static final String VALID_CONFIG =
      "{'name':'n3','listen':'127.0.0.1:7','journal':'127.0.0.1:8','seed':'ff',"
          + "'limits':{'memory_mb':192,'sockets':1024},'new':{'a':[1]},"
          + "'settings':{'my-zone':'z','classes':[{'name':'p',"
          + "'idempotency':'once','target-s':0.25}],"
          + "'bounds':{'multiplex':100,'conn-idle-s':30.0}}}";
  @TempDir private Path folder;

  private GatewayOptions read(String json, String... environment) throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(file, json.replace('\'', '"'));
    return GatewayOptions.read(
        environment.length == 0
            ? Map.of("PROXY_CONFIG", file.toString())
            : Map.of("PROXY_CONFIG", file.toString(), environment[0], environment[1]));
  }

  @Test
  void settingsAreReadAndAbsentSettingsHaveDefaults() throws Exception {
    GatewayOptions options = read(VALID_CONFIG);
    assertEquals("n3", options.name());
    assertEquals(7, options.listenAddress().port());
    assertEquals(255, options.routingConfig().seed());
    assertEquals(250_000_000, options.routingConfig().trafficClass(0).latencyObjectiveNanos());
    assertEquals(400_000_000, options.pipelineConfig().caches().connectTimeoutNanos());
    assertEquals(0, options.knownEntries().objects("entries").size());
    assertEquals(9, read(VALID_CONFIG, "PROXY_LISTEN", "[::1]:9").listenAddress().port());
  }

  @Test
  void clientAndCacheConnectionsStayWithinTheDescriptorLimit() throws Exception {
    GatewayOptions options = read(VALID_CONFIG);
    CacheConnectionConfig caches = options.pipelineConfig().caches();
    assertTrue(caches.maxConnections() + options.maxClientConnections() < 1024 - 32);
    for (int count : new int[] {1, 20, 60, 400}) {
      int connections = caches.maxConnectionsPerCache(count) * count;
      assertTrue(connections <= caches.maxConnections(), "caches " + count);
    }
    assertEquals(
        1,
        caches.maxConnectionsPerCache(3200),
        "at least one for each cache; not all caches are up at once");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "'listen':'127.0.0.1:7' | 'listen':'nowhere'" + " | field 'listen' is no address:port",
        "'listen':'127.0.0.1:7' | 'listen':'a.example:1'" + " | field 'listen' is no address:port",
        "'journal':'127.0.0.1:8' | 'journal':8" + " | field 'journal' is not a string",
        "'journal':'127.0.0.1:8', | ''" + " | field 'journal' is missing",
        "'seed':'ff' | 'seed':'xyz'" + " | field 'seed' is not a hexadecimal",
        "'memory_mb':192 | 'memory_mb':1" + " | limits: field 'memory_mb' is under 32",
        "'sockets':1024 | 'sockets':'x'" + " | limits: field 'sockets' is not a whole",
        "'my-zone':'z', | ''" + " | settings: field 'my-zone' is missing",
        "'idempotency':'once' | 'idempotency':'twice'"
            + " | field 'idempotency' is not one of repeatable, by_key, once: twice",
        "'idempotency':'once' | 'idempotency':'once','group':'rack'"
            + " | field 'group' is not one of all, zone, cell: rack",
        "'my-zone':'z' | 'my-zone':'z','family-info':{'never-kept':[1]}"
            + " | settings family-info: field 'never-kept' is an array whose element 0 is not of"
            + " type Boolean",
        "'sockets':1024 | 'sockets':2147483648"
            + " | limits: field 'sockets' is outside the range of a 32-bit integer: 2147483648",
        "'target-s':0.25 | 'target-s':'soon'" + " | field 'target-s' is not a number",
        "'multiplex':100 | 'multiplex':'many'" + " | bounds: field 'multiplex' is not a whole",
        "{'name' | {{'name'" + " | is not JSON"
      },
      quoteCharacter = '"')
  void messageNamesTheInvalidKey(String validText, String invalidText, String message) {
    String json = VALID_CONFIG.replace(validText, invalidText.equals("''") ? "" : invalidText);
    InvalidSettingsException exception =
        assertThrows(InvalidSettingsException.class, () -> read(json));
    assertTrue(exception.getMessage().contains(message), exception.getMessage());
  }

  @Test
  void messageNamesTheMissingFile() {
    Map<String, String> environment =
        Map.of("PROXY_CONFIG", folder.resolve("none.json").toString());
    InvalidSettingsException exception =
        assertThrows(InvalidSettingsException.class, () -> GatewayOptions.read(environment));
    assertTrue(exception.getMessage().startsWith("PROXY_CONFIG: "), exception.getMessage());
    assertThrows(InvalidSettingsException.class, () -> GatewayOptions.read(Map.of()));
  }
}
