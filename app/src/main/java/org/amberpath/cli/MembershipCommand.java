package org.amberpath.cli;

import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.amberpath.membership.runtime.AdminEndpoint;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Lists the members that a running gateway knows, prints changes to them, and makes the gateway
 * forget a lost member.
 */
@Command(
    name = "members",
    aliases = "fleet",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    description =
        "Lists and watches the members that a running gateway knows, or removes a lost one.")
final class MembershipCommand {
  private static final int POLL_INTERVAL_MILLIS = 500;
  private static final double MILLIS_PER_SECOND = 1e3;

  @Mixin private AdminOptions options;

  @Command(
      name = "list",
      mixinStandardHelpOptions = true,
      description = "Lists the members and their status.")
  int list() throws Exception {
    JsonObject status = options.client().get(AdminEndpoint.MEMBERS_PATH);
    if (options.json()) {
      System.out.println(status.encode());
      return AmberpathCommand.SUCCESS;
    }
    System.out.printf(
        "%s in fleet %s: phase %s, %d present, share 1/%d%s (told = %d)%n",
        status.getString("name"),
        status.getString("fleet"),
        status.getString("phase"),
        status.getInteger("there"),
        status.getInteger("counted"),
        status.getDouble("part") > 0 ? "" : ", not assigned yet",
        status.getInteger("told"));
    for (Object element : status.getJsonArray("gateways")) {
      printMember((JsonObject) element);
    }
    return AmberpathCommand.SUCCESS;
  }

  private static void printMember(JsonObject member) {
    System.out.printf(
        "  %-32s %-9s %-21s for %.1f s%n",
        member.getString("name"),
        member.getString("standing"),
        member.getString("address"),
        member.getLong("since_ms") / MILLIS_PER_SECOND);
  }

  @Command(
      name = "watch",
      mixinStandardHelpOptions = true,
      description = "Prints changes of members' status as the gateway reports them.")
  int watch(
      @Option(
              names = "--seconds",
              defaultValue = "0",
              description = "Seconds to watch; 0 for no limit. Default: ${DEFAULT-VALUE}.")
          int seconds)
      throws Exception {
    long endNanos = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
    Map<String, String> previous = Map.of();
    while (seconds == 0 || System.nanoTime() < endNanos) {
      Map<String, String> current = statusByName(options.client().get(AdminEndpoint.MEMBERS_PATH));
      printChanges(previous, current);
      previous = current;
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    return AmberpathCommand.SUCCESS;
  }

  /** Returns, by name, the gateway's own phase and share and the status of each other member. */
  private static Map<String, String> statusByName(JsonObject status) {
    Map<String, String> statuses = new HashMap<>();
    statuses.put(
        status.getString("name"),
        status.getString("phase") + ", one part of " + status.getInteger("counted"));
    for (Object element : status.getJsonArray("gateways")) {
      JsonObject member = (JsonObject) element;
      statuses.put(member.getString("name"), member.getString("standing"));
    }
    return statuses;
  }

  private void printChanges(Map<String, String> previous, Map<String, String> current) {
    current.forEach(
        (name, status) -> {
          String before = previous.get(name);
          if (!status.equals(before)) {
            printChange(name, before, status);
          }
        });
    previous.forEach(
        (name, before) -> {
          if (!current.containsKey(name)) {
            printChange(name, before, null);
          }
        });
  }

  /**
   * Prints the change of one member.
   *
   * @param before the former status; null for a member that was added
   * @param after the new status; null for a member that the gateway no longer lists
   */
  private void printChange(String name, String before, String after) {
    System.out.println(
        options.json()
            ? new JsonObject().put("name", name).put("was", before).put("is", after).encode()
            : String.format(
                "%-32s %s -> %s",
                name, before == null ? "" : before, after == null ? "forgotten" : after));
  }

  @Command(
      name = "forget",
      mixinStandardHelpOptions = true,
      description = "Removes a lost member that will not return; the others take over its share.")
  int forget(@Parameters(paramLabel = "NAME") String name) throws Exception {
    if (name.matches("[A-Za-z0-9._-]{1,32}")
        && options.client().post(AdminEndpoint.FORGET_PATH + name) == AdminClient.OK) {
      JsonObject result = new JsonObject().put("name", name).put("is", "left");
      System.out.println(options.json() ? result.encode() : name + ": left");
      return AmberpathCommand.SUCCESS;
    }
    System.err.println(name + ": not removed: the gateway does not list this member as lost");
    return AmberpathCommand.FAILURE;
  }
}
