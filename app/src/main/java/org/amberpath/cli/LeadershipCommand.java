package org.amberpath.cli;

import io.vertx.core.json.JsonObject;
import org.amberpath.membership.runtime.AdminEndpoint;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Lists the tasks that a running gateway may lead, and makes it release leadership of one. */
@Command(
    name = "leader",
    aliases = "owner",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    description = "Lists the tasks that a running gateway may lead, or makes it release one.")
final class LeadershipCommand {
  @Mixin private AdminOptions options;

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists the gateway's tasks and whether it leads them.")
  int list() throws Exception {
    JsonObject status = options.client().get(AdminEndpoint.TASKS_PATH);
    if (options.json()) {
      System.out.println(status.encode());
      return AmberpathCommand.SUCCESS;
    }
    System.out.printf(
        "%s%s; voters: %s%n",
        status.getString("name"),
        status.getBoolean("votes") ? " (voter)" : "",
        status.getJsonArray("voters").getList());
    for (Object element : status.getJsonArray("tasks")) {
      printTask((JsonObject) element);
    }
    return AmberpathCommand.SUCCESS;
  }

  private static void printTask(JsonObject task) {
    System.out.printf(
        "  %-10s %-9s term %d%s; done %d, refused %d, failed %d%n",
        task.getString("task"),
        task.getString("state"),
        task.getLong("term"),
        task.getBoolean("holds") ? ", lease expires in " + task.getLong("left_ms") + " ms" : "",
        task.getLong("done"),
        task.getLong("refused"),
        task.getLong("failed"));
  }

  @Command(
      name = "release",
      mixinStandardHelpOptions = true,
      description =
          "Makes the gateway give up a task; it does not seek election again for one"
              + " lease duration.")
  int release(@Parameters(paramLabel = "TASK") String task) throws Exception {
    if (task.matches("[a-z-]{1,32}")
        && options.client().post(AdminEndpoint.RELEASE_PATH + task) == AdminClient.OK) {
      JsonObject result = new JsonObject().put("task", task).put("released", true);
      System.out.println(options.json() ? result.encode() : task + ": released");
      return AmberpathCommand.SUCCESS;
    }
    System.err.println(task + ": not released: the gateway does not lead this task");
    return AmberpathCommand.FAILURE;
  }
}
