package org.amberpath.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Tests the names, aliases and exit codes of the commands. */
class AmberpathCommandTest {
  private static final String REGISTRY =
      "[registry]\nform = etcd\nendpoints = 127.0.0.1:2379, 127.0.0.1:2380\n";

  @TempDir private Path folder;

  private Path writeFile(String text) throws Exception {
    return Files.writeString(folder.resolve("a.ini"), text);
  }

  private int execute(StringWriter err, String... args) {
    CommandLine commandLine = AmberpathCommand.commandLine();
    commandLine.setErr(new PrintWriter(err, true));
    return commandLine.execute(args);
  }

  @Test
  void exitCodeIsTwoForUsageAndSettings() throws Exception {
    StringWriter err = new StringWriter();
    assertEquals(0, execute(err, "check", writeFile(REGISTRY).toString()));
    assertEquals(2, execute(err, "check", writeFile("[registry]\n").toString()));
    assertEquals(2, execute(err, "nonsense"));
    assertEquals(2, execute(err));
    assertEquals(2, execute(err, "registry", "--file", writeFile("").toString(), "list"));
    assertTrue(err.toString().contains("[registry]: missing"), err.toString());
    assertEquals(2, execute(err, "fleet", "--file", writeFile(REGISTRY).toString(), "list"));
    assertTrue(err.toString().contains("[fleet] operators: missing"), err.toString());
    assertEquals(0, execute(err, "lab", "list"));
  }

  @Test
  void checkReportsThatAFileIsValid() throws Exception {
    String file = writeFile(REGISTRY).toString();

    assertEquals(
        new CommandRunner.Result(0, file + ": valid\n", ""), CommandRunner.run("check", file));
  }

  @Test
  void unknownStandInIsAUsageError() {
    assertEquals(
        new CommandRunner.Result(2, "", "lab standin: WHAT: expected registry, got cache\n"),
        CommandRunner.run("lab", "standin", "cache"));
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 61})
  void numberOfGatewaysOutOfBoundsIsInvalid(int gatewayCount) {
    InvalidSettingsException e =
        assertThrows(
            InvalidSettingsException.class, () -> LabExperiment.checkGatewayCount(gatewayCount));

    assertEquals("--gateways: not from 3 to 60: " + gatewayCount, e.getMessage());
  }

  @ParameterizedTest
  @CsvSource({"simulate, wirehost", "members, fleet", "leader, owner"})
  void renamedCommandKeepsItsFormerNameAsAlias(String name, String alias) {
    Map<String, CommandLine> commands = AmberpathCommand.commandLine().getSubcommands();

    assertEquals(name, commands.get(name).getCommandName());
    assertSame(commands.get(name), commands.get(alias));
  }

  @ParameterizedTest
  @CsvSource({"members, fleet", "leader, owner"})
  void aliasRunsTheSameCommand(String name, String alias) throws Exception {
    String settings = writeFile(REGISTRY).toString();
    StringWriter byName = new StringWriter();
    StringWriter byAlias = new StringWriter();

    assertEquals(2, execute(byName, name, "--file", settings, "list"));
    assertEquals(2, execute(byAlias, alias, "--file", settings, "list"));

    assertEquals(byName.toString(), byAlias.toString());
    assertTrue(byName.toString().contains("[fleet] operators: missing"), byName.toString());
  }

  @Test
  void deployedCommandsAreRecognizedBeforeTheCommandLineIsLoaded() {
    assertTrue(Main.isPlainSimulate(new String[] {"simulate"}));
    assertTrue(Main.isPlainSimulate(new String[] {"wirehost"}));
    assertFalse(Main.isPlainSimulate(new String[] {"wirehost", "--help"}));
    assertTrue(Main.isPlainServe(new String[] {"serve"}, Map.of()));
    assertFalse(Main.isPlainServe(new String[] {"serve"}, Map.of("AMBERPATH_FILE", "a.ini")));
    assertFalse(Main.isPlainServe(new String[] {"serve", "--file", "a.ini"}, Map.of()));
  }
}
