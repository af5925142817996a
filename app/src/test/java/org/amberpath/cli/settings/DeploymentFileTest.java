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
        "form = etcd|form = zoo|[registry] form: not one of etcd, consul: zoo",
        "form = etcd||[registry] form: missing; expected one of etcd, consul",
        "endpoints = 127.0.0.1:2379, 127.0.0.1:2380|endpoints = here:1|"
            + "[registry] endpoints: not a numeric address:port: here:1",
        "endpoints = 127.0.0.1:2379, 127.0.0.1:2380||[registry] endpoints: missing",
        "form = etcd|form = etcd\\nendpoint = 1|[registry] endpoint: unknown key",
        "form = etcd|form = etcd\\nmost-keys = 1.5e3x|"
            + "[registry] most-keys: not a number from 10 to 1000000: 1.5e3x",
        "form = etcd|form = etcd\\nretention-s = 5|"
            + "[registry] retention-s: not a number from 10 to 86400: 5",
        "form = etcd|form = etcd\\nprefix = a b|"
            + "[registry] prefix: has to be up to 128 letters, digits or ._-/, start with no slash"
            + " and end with one: a b",
        "form = etcd|form = etcd\\ntrust = /nowhere|"
            + "[registry] trust: not a readable file: /nowhere",
        "form = etcd|form = etcd\\nuser = me|"
            + "[registry] password: missing: user and password require each other",
        "form = etcd|form = etcd\\nform = consul|[registry] form: set more than once",
        "[registry]|[registrar]|[registrar]: unknown section",
        "127.0.0.1:2380|127.0.0.1:2379|"
            + "[registry] endpoints: 127.0.0.1:2379 is listed more than once",
        "127.0.0.1:2380|127.0.0.1:1 127.0.0.1:2 127.0.0.1:3 127.0.0.1:4 127.0.0.1:5 "
            + "127.0.0.1:6 127.0.0.1:7 127.0.0.1:8 127.0.0.1:9|"
            + "[registry] endpoints: more than 9 addresses",
        "form = etcd|form = etcd\\nsnapshot = /nowhere/a|"
            + "[registry] snapshot: the folder of this file does not exist: /nowhere/a",
        "form = etcd|form = etcd\\ncertificate = /dev/null|"
            + "[registry] certificate: requires trust",
        "form = etcd|form = etcd\\ntrust = /dev/null\\ncertificate = /dev/null|"
            + "[registry] key: missing: certificate and key require each other",
        "form = etcd|form = consul\\nuser = me\\npassword = /dev/null|"
            + "[registry] user: only valid with form = etcd and without token"
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
        "name = a|name = a b|[fleet] name: not 1 to 32 letters, digits or ._-: a b",
        "listen = 127.0.0.1:7946||[fleet] listen: missing",
        "listen = 127.0.0.1:7946|listen = [::1]:7946|"
            + "[fleet] listen: not a numeric IPv4 address:port: [::1]:7946",
        "listen = 127.0.0.1:7946|listen = 0.0.0.0:7946|"
            + "[fleet] advertise: missing: required because others can't send to listen = 0.0.0.0",
        "seeds = 127.0.0.1:7946||[fleet] seeds: missing",
        "operators = 127.0.0.1:7900|operators = 10.0.0.1:7900|"
            + "[fleet] operators: not a loopback address: 10.0.0.1:7900",
        "name = a|told = 2001|[fleet] told: not a number from 0 to 2000: 2001",
        "name = a|period-s = 0.05|[fleet] period-s: not a number from 0.1 to 10: 0.05",
        "name = a|perod-s = 1|[fleet] perod-s: unknown key",
        "key = |;|[fleet] key: missing",
        "name = a|[owner]~[fleet]~name = a|[owner] voters: no voters",
        "name = a|[owner]~voters = g1, g2~[fleet]~name = a|"
            + "[owner] voters: an odd number of voters, 9 at most, each once: [g1, g2]",
        "name = a|[owner]~voters = g1~sweep = yes~[fleet]~name = a|"
            + "[owner] sweep: requires section [registry]"
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
        "[owner] lease-s: not an integer: 2.5|by = lease~lease-s = 2.5",
        "[owner] settle-s: with probe or warm, has to be from 0.3 to half of lease-s|"
            + "probe = yes~settle-s = 1.6",
        "[owner] probe: not one of yes, no: maybe|probe = maybe",
        "[owner] by: lease requires section [registry] with form = etcd|by = lease"
      })
  void invalidOwnerKeyIsReportedWithFileSectionAndKey(String message, String keys)
      throws Exception {
    Path key = Files.writeString(folder.resolve("keys"), "k1 00");
    String registry = message.contains("requires section [registry]") ? "" : REGISTRY;
    String fleet = FLEET + "key = " + key + "\n";
    String owner = "[owner]\nvoters = g1\n" + keys.replace("~", "\n") + "\n";
    Path file = writeFile(registry + fleet + owner);

    InvalidDeploymentFileException e =
        assertThrows(InvalidDeploymentFileException.class, () -> DeploymentFile.read(file));

    assertEquals(file + ": " + message, e.getMessage());
  }

  @Test
  void ownerSectionWithoutFleetSectionIsReported() throws Exception {
    Path file = writeFile("[owner]\nvoters = g1\n");

    InvalidDeploymentFileException e =
        assertThrows(InvalidDeploymentFileException.class, () -> DeploymentFile.read(file));

    assertEquals(
        file + ": [owner] voters: requires section [fleet]: gateways vote by its datagrams",
        e.getMessage());
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
