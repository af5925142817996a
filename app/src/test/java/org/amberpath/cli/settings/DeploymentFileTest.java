package org.amberpath.cli.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import org.amberpath.leadership.runtime.LeadershipSettings;
import org.amberpath.registry.runtime.RegistrySettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the defaults of a deployment file, and the file, section and key in its error messages. */
class DeploymentFileTest {
  private static final String REGISTRY =
      "[registry]\nform = etcd\nendpoints = 127.0.0.1:2379, 127.0.0.1:2380\n";
  private static final String FLEET =
      """
      [fleet]
      name = a
      listen = 127.0.0.1:7946
      seeds = 127.0.0.1:7946
      operators = 127.0.0.1:7900
      """;

  @TempDir private Path folder;

  private Path writeFile(String text) throws Exception {
    return Files.writeString(folder.resolve("a.ini"), text);
  }

  @Test
  void absentKeysHaveTheirDefaults() throws Exception {
    RegistrySettings registry = DeploymentFile.read(writeFile(REGISTRY)).registry().orElseThrow();

    assertEquals(RegistrySettings.ProtocolKind.ETCD, registry.protocol());
    assertEquals(2, registry.endpoints().size());
    assertEquals("amberpath/", registry.prefix());
    assertEquals(600_000_000_000L, registry.purgeRetentionNanos());
    assertFalse(DeploymentFile.read(writeFile(REGISTRY)).alsoPollsJournal());
  }

  @Test
  void documentedExampleIsValidAndNamesEveryKey() throws Exception {
    String example = Files.readString(Path.of("..", "deploy", "amberpath.ini"));
    String uncommented =
        example
            .replaceAll("(?m)^;(\\[?[a-z-]+\\]?( = |$))", "$1")
            .replaceAll("(?m)^(trust|certificate|key|token|user|password|snapshot) = .*$", "")
            .replaceFirst(
                "(?m)^\\[fleet\\]$",
                "[fleet]\nkey = " + Files.writeString(folder.resolve("keys"), "k1 00"));

    DeploymentFile disabled = DeploymentFile.read(writeFile(example));
    DeploymentFile enabled = DeploymentFile.read(writeFile(uncommented));

    assertEquals("amberpath", enabled.membership().orElseThrow().fleet());
    assertEquals(3, enabled.leadership().orElseThrow().voters().current().size());
    assertEquals(20_000, enabled.registry().orElseThrow().maxKeys());
    assertTrue(disabled.registry().isEmpty());
    assertTrue(disabled.membership().isEmpty());
    assertTrue(disabled.leadership().isEmpty());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "form = etcd|form = zoo|[registry] form: none of etcd, consul: zoo",
        "form = etcd||[registry] form: missing; one of etcd, consul",
        "endpoints = 127.0.0.1:2379, 127.0.0.1:2380|endpoints = here:1|"
            + "[registry] endpoints: no numeric address:port: here:1",
        "endpoints = 127.0.0.1:2379, 127.0.0.1:2380||[registry] endpoints: missing",
        "form = etcd|form = etcd\\nendpoint = 1|[registry] endpoint: no such key",
        "form = etcd|form = etcd\\nmost-keys = 1.5e3x|"
            + "[registry] most-keys: no number from 10 to 1000000: 1.5e3x",
        "form = etcd|form = etcd\\nretention-s = 5|"
            + "[registry] retention-s: no number from 10 to 86400: 5",
        "form = etcd|form = etcd\\nprefix = a b|"
            + "[registry] prefix: not of letters, digits and ._-/ with a slash at its end: a b",
        "form = etcd|form = etcd\\ntrust = /nowhere|[registry] trust: can't be read: /nowhere",
        "form = etcd|form = etcd\\nuser = me|[registry] password: missing: both or neither",
        "form = etcd|form = etcd\\nform = consul|[registry] form: given twice",
        "[registry]|[registrar]|[registrar]: no such section"
      })
  void invalidRegistryKeyIsReportedWithFileSectionAndKey(String from, String to, String message)
      throws Exception {
    Path file = writeFile(REGISTRY.replace(from, to == null ? "" : to.replace("\\n", "\n")));

    InvalidDeploymentFileException e =
        assertThrows(InvalidDeploymentFileException.class, () -> DeploymentFile.read(file));

    assertEquals(file + ": " + message, e.getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "name = a|name = a b|[fleet] name: not 1 to 32 letters, digits, ._-: a b",
        "listen = 127.0.0.1:7946||[fleet] listen: missing",
        "listen = 127.0.0.1:7946|listen = [::1]:7946|"
            + "[fleet] listen: no numeric IPv4 address:port: [::1]:7946",
        "listen = 127.0.0.1:7946|listen = 0.0.0.0:7946|"
            + "[fleet] advertise: missing: nobody can answer 0.0.0.0",
        "seeds = 127.0.0.1:7946||[fleet] seeds: missing",
        "operators = 127.0.0.1:7900|operators = 10.0.0.1:7900|"
            + "[fleet] operators: not on loopback: 10.0.0.1:7900",
        "name = a|told = 2001|[fleet] told: no number from 0 to 2000: 2001",
        "name = a|period-s = 0.05|[fleet] period-s: no number from 0.1 to 10: 0.05",
        "name = a|perod-s = 1|[fleet] perod-s: no such key",
        "key = |;|[fleet] key: missing",
        "name = a|[owner]~[fleet]~name = a|[owner] voters: no voters",
        "name = a|[owner]~voters = g1, g2~[fleet]~name = a|"
            + "[owner] voters: an odd number of voters, 9 at most, each once: [g1, g2]",
        "name = a|[owner]~voters = g1~sweep = yes~[fleet]~name = a|[owner] sweep: needs [registry]"
      })
  void invalidFleetOrOwnerKeyIsReportedWithFileSectionAndKey(String from, String to, String message)
      throws Exception {
    Path key = Files.writeString(folder.resolve("keys"), "k1 00");
    Path file =
        writeFile(
            (FLEET + "key = " + key + "\n").replace(from, to == null ? "" : to.replace("~", "\n")));

    InvalidDeploymentFileException e =
        assertThrows(InvalidDeploymentFileException.class, () -> DeploymentFile.read(file));

    assertEquals(file + ": " + message, e.getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "[owner] lease-s: no whole number: 2.5|by = lease~lease-s = 2.5",
        "[owner] settle-s: with probe or warm from 0.3 to half of lease-s|"
            + "probe = yes~settle-s = 1.6",
        "[owner] probe: none of yes, no: maybe|probe = maybe",
        "[owner] by: lease needs [registry] of the form etcd|by = lease"
      })
  void invalidOwnerKeyIsReportedWithFileSectionAndKey(String message, String keys)
      throws Exception {
    Path key = Files.writeString(folder.resolve("keys"), "k1 00");
    String registry = message.contains("needs [registry]") ? "" : REGISTRY;
    String fleet = FLEET + "key = " + key + "\n";
    String owner = "[owner]\nvoters = g1\n" + keys.replace("~", "\n") + "\n";
    Path file = writeFile(registry + fleet + owner);

    InvalidDeploymentFileException e =
        assertThrows(InvalidDeploymentFileException.class, () -> DeploymentFile.read(file));

    assertEquals(file + ": " + message, e.getMessage());
  }

  @Test
  void missingFileIsReportedByName() {
    Path file = folder.resolve("absent.ini");

    InvalidDeploymentFileException e =
        assertThrows(InvalidDeploymentFileException.class, () -> DeploymentFile.read(file));

    assertEquals(file + ": can't be read: NoSuchFileException", e.getMessage());
  }

  @Test
  void reloadVotersReadsTheFileAgain() throws Exception {
    Path key = Files.writeString(folder.resolve("keys"), "k1 00");
    String contentBeforeVoters = FLEET + "key = " + key + "\n[owner]\nvoters = ";
    Path file = writeFile(contentBeforeVoters + "g1\n");
    LeadershipSettings leadership = DeploymentFile.read(file).leadership().orElseThrow();

    writeFile(contentBeforeVoters + "g1, g2, g3\n");

    assertEquals(1, leadership.voters().current().size());
    assertEquals(3, leadership.reloadVoters().get().current().size());
  }
}
