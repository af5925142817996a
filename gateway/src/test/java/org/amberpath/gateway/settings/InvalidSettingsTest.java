package org.amberpath.gateway.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.amberpath.gateway.GatewayOptions;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that the exception for invalid settings carries the file, the section and the key. */
class InvalidSettingsTest {
  @TempDir private Path folder;

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "{'listen':'127.0.0.1:1','seed':'xyz','settings':{}} | configuration          | seed    ",
        "{'listen':'127.0.0.1:1','seed':'ff','settings':{}}  | configuration settings | my-zone ",
        "[]                                                  | \"\"                   | \"\"      "
      })
  void exceptionCarriesFileSectionAndKey(String json, String section, String key) throws Exception {
    Path file = folder.resolve("gateway.json");
    Files.writeString(file, json.replace('\'', '"'));
    InvalidSettingsException exception =
        assertThrows(
            InvalidSettingsException.class,
            () -> GatewayOptions.read(Map.of("PROXY_CONFIG", file.toString()), false));
    assertEquals(file.toString(), exception.file());
    assertEquals(section, exception.section());
    assertEquals(key, exception.key());
  }
}
