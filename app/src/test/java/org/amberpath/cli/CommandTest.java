package org.amberpath.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.amberpath.registry.runtime.RegistrySettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

/** Settings and the command line: what is wrong is one message that names file, section and key. */
class CommandTest {
  private static final String GOOD =
      "[registry]\nform = etcd\nendpoints = 127.0.0.1:2379, 127.0.0.1:2380\n";
  @TempDir private Path folder;

  private Path file(String text) throws Exception {
    return Files.writeString(folder.resolve("a.ini"), text);
  }

  @Test
  void aFileThatIsGoodHasItsDefaults() throws Exception {
    DeploymentFile read = DeploymentFile.read(file(GOOD));
    assertEquals(RegistrySettings.ProtocolKind.ETCD, read.registry().protocol());
    assertEquals(2, read.registry().endpoints().size());
    assertEquals("amberpath/", read.registry().prefix());
    assertEquals(600_000_000_000L, read.registry().purgeRetentionNanos());
    assertEquals(false, read.journalBeside());
  }

  @Test
  void theDocumentedExampleIsGoodAndHasEveryKey() throws Exception {
    String example = Files.readString(Path.of("..", "deploy", "amberpath.ini"));
    String switchedOn =
        example
            .replaceAll("(?m)^;(\\[?[a-z-]+\\]?( = |$))", "$1")
            .replaceAll("(?m)^(trust|certificate|key|token|user|password|snapshot) = .*$", "")
            .replaceFirst(
                "(?m)^\\[fleet\\]$",
                "[fleet]\nkey = " + Files.writeString(folder.resolve("keys"), "k1 00"));
    assertEquals("amberpath", DeploymentFile.read(file(switchedOn)).fleet().fleet());
    assertEquals(3, DeploymentFile.read(file(switchedOn)).owner().voters().current().size());
    assertEquals(null, DeploymentFile.read(file(example)).fleet());
    assertEquals(20_000, DeploymentFile.read(file(switchedOn)).registry().maxKeys());
    assertEquals(null, DeploymentFile.read(file(example)).registry());
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
        "form = etcd|form = etcd\\nmost-keys = 1.5e3x|[registry] most-keys: no number from 10 to 1000000: 1.5e3x",
        "form = etcd|form = etcd\\nretention-s = 5|[registry] retention-s: no number from 10 to 86400: 5",
        "form = etcd|form = etcd\\nprefix = a b|"
            + "[registry] prefix: not of letters, digits and ._-/ with a slash at its end: a b",
        "form = etcd|form = etcd\\ntrust = /nowhere|[registry] trust: can't be read: /nowhere",
        "form = etcd|form = etcd\\nuser = me|[registry] password: missing: both or neither",
        "form = etcd|form = etcd\\nform = consul|[registry] form: given twice",
        "[registry]|[registrar]|[registrar]: no such section"
      })
  void whatIsWrongIsOneMessage(String from, String to, String message) throws Exception {
    Path file = file(GOOD.replace(from, to == null ? "" : to.replace("\\n", "\n")));
    DeploymentFile.Faulty e =
        assertThrows(DeploymentFile.Faulty.class, () -> DeploymentFile.read(file));
    assertEquals(file + ": " + message, e.getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "name = a|name = a b|[fleet] name: not 1 to 32 letters, digits, ._-: a b",
        "listen = 127.0.0.1:7946||[fleet] listen: missing",
        "listen = 127.0.0.1:7946|listen = [::1]:7946|[fleet] listen: no numeric IPv4 address:port: [::1]:7946",
        "listen = 127.0.0.1:7946|listen = 0.0.0.0:7946|[fleet] advertise: missing: nobody can answer 0.0.0.0",
        "seeds = 127.0.0.1:7946||[fleet] seeds: missing",
        "operators = 127.0.0.1:7900|operators = 10.0.0.1:7900|[fleet] operators: not on loopback: 10.0.0.1:7900",
        "name = a|told = 2001|[fleet] told: no number from 0 to 2000: 2001",
        "name = a|period-s = 0.05|[fleet] period-s: no number from 0.1 to 10: 0.05",
        "name = a|perod-s = 1|[fleet] perod-s: no such key",
        "key = |;|[fleet] key: missing",
        "name = a|[owner]~[fleet]~name = a|[owner] voters: no voters",
        "name = a|[owner]~voters = g1, g2~[fleet]~name = a|"
            + "[owner] voters: an odd number of voters, 9 at most, each once: [g1, g2]",
        "name = a|[owner]~voters = g1~sweep = yes~[fleet]~name = a|[owner] sweep: needs [registry]"
      })
  void whatIsWrongWithTheFleetIsOneMessage(String from, String to, String message)
      throws Exception {
    Path key = Files.writeString(folder.resolve("keys"), "k1 00"),
        file =
            file(
                ("[fleet]\nname = a\n"
                        + "listen = 127.0.0.1:7946\nseeds = 127.0.0.1:7946\noperators = 127.0.0.1:7900\nkey = "
                        + key
                        + "\n")
                    .replace(from, to == null ? "" : to.replace("~", "\n")));
    DeploymentFile.Faulty e =
        assertThrows(DeploymentFile.Faulty.class, () -> DeploymentFile.read(file));
    assertEquals(file + ": " + message, e.getMessage());
  }

  private int run(StringWriter err, String... args) {
    CommandLine line = AmberpathCommand.line();
    line.setErr(new PrintWriter(err, true));
    return line.execute(args);
  }

  @Test
  void exitCodesTellUsageAndSettingsFromTheRest() throws Exception {
    StringWriter err = new StringWriter();
    assertEquals(0, run(err, "check", file(GOOD).toString()));
    assertEquals(2, run(err, "check", file("[registry]\n").toString()));
    assertEquals(2, run(err, "nonsense"));
    assertEquals(2, run(err));
    assertEquals(2, run(err, "registry", "--file", file("").toString(), "list"));
    assertTrue(err.toString().contains("[registry]: missing"), err.toString());
    assertEquals(2, run(err, "fleet", "--file", file(GOOD).toString(), "list"));
    assertTrue(err.toString().contains("[fleet] operators: missing"), err.toString());
    assertEquals(0, run(err, "lab", "list"));
  }
}
