package org.amberpath.cli;

import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import org.amberpath.membership.runtime.AdminEndpoint;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What operators ask a running gateway about the tasks that it owns for the fleet. */
@Command(
    name = "owner",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    description = "Asks a running gateway what it owns for the fleet, or takes it away.")
final class LeadershipCommand {
  @Option(
      names = "--file",
      required = true,
      defaultValue = "${AMBERPATH_FILE}",
      paramLabel = "INI",
      description = "The gateway's settings, with [fleet] operators; AMBERPATH_FILE otherwise.")
  private Path file;

  @Option(names = "--json", description = "One JSON object a line.")
  private boolean json;

  private final AdminRequest desk = new AdminRequest();

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Its tasks, and whether it owns them.")
  int list() throws Exception {
    JsonObject page = desk.page(file, AdminEndpoint.TASKS_PATH);
    if (json) {
      System.out.println(page.encode());
      return AmberpathCommand.DONE;
    }
    System.out.printf(
        "%s%s, of the voters %s%n",
        page.getString("name"),
        page.getBoolean("votes") ? " votes" : "",
        page.getJsonArray("voters").getList());
    for (Object one : page.getJsonArray("tasks")) {
      JsonObject task = (JsonObject) one;
      System.out.printf(
          "  %-10s %-9s term %d%s; done %d, refused %d, failed %d%n",
          task.getString("task"),
          task.getString("state"),
          task.getLong("term"),
          task.getBoolean("holds") ? ", its own for " + task.getLong("left_ms") + " ms more" : "",
          task.getLong("done"),
          task.getLong("refused"),
          task.getLong("failed"));
    }
    return AmberpathCommand.DONE;
  }

  @Command(
      name = "release",
      mixinStandardHelpOptions = true,
      description =
          "Takes a task from this gateway, and leaves it to others for the time of a lease.")
  int release(@Parameters(paramLabel = "TASK") String task) throws Exception {
    if (task.matches("[a-z-]{1,32}")
        && desk.ask(file, "POST", AdminEndpoint.RELEASE_PATH + task).statusCode()
            == AdminRequest.OK) {
      JsonObject said = new JsonObject().put("task", task).put("released", true);
      System.out.println(json ? said.encode() : task + ": released");
      return AmberpathCommand.DONE;
    }
    System.err.println(task + ": this gateway does not own it");
    return AmberpathCommand.FAILED;
  }
}
