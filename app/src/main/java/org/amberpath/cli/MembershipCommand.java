package org.amberpath.cli;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.amberpath.membership.runtime.AdminEndpoint;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What operators ask a running gateway about its fleet, at the address that its [fleet] names. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    description = "Asks a running gateway what it knows of the others.")
final class MembershipCommand {
  private static final int CONFLICT = 409, PAUSE_MS = 500;

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

  private JsonObject view() throws IOException, InterruptedException {
    return desk.page(file, AdminEndpoint.MEMBERS_PATH);
  }

  @Command(name = "list", mixinStandardHelpOptions = true, description = "The view as it is.")
  int list() throws Exception {
    JsonObject view = view();
    if (json) {
      System.out.println(view.encode());
      return AmberpathCommand.DONE;
    }
    System.out.printf(
        "%s in %s: %s, %d there, one part of %d%s (told %d)%n",
        view.getString("name"),
        view.getString("fleet"),
        view.getString("phase"),
        view.getInteger("there"),
        view.getInteger("counted"),
        view.getDouble("part") > 0 ? "" : ", none of it its own yet",
        view.getInteger("told"));
    for (Object one : view.getJsonArray("gateways")) {
      JsonObject other = (JsonObject) one;
      System.out.printf(
          "  %-32s %-9s %-21s since %.1f s%n",
          other.getString("name"),
          other.getString("standing"),
          other.getString("address"),
          other.getLong("since_ms") / 1e3);
    }
    return AmberpathCommand.DONE;
  }

  @Command(
      name = "watch",
      mixinStandardHelpOptions = true,
      description = "Each change, as it is seen.")
  int watch(
      @Option(names = "--seconds", defaultValue = "0", description = "0: until it is stopped.")
          int seconds)
      throws Exception {
    long until = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
    Map<String, String> before = new HashMap<>();
    while (seconds == 0 || System.nanoTime() < until) {
      JsonObject view = view();
      Map<String, String> now = new HashMap<>();
      now.put(
          view.getString("name"),
          view.getString("phase") + ", one part of " + view.getInteger("counted"));
      JsonArray others = view.getJsonArray("gateways");
      others.forEach(
          one ->
              now.put(
                  ((JsonObject) one).getString("name"), ((JsonObject) one).getString("standing")));
      now.forEach(
          (name, is) -> {
            String was = before.get(name);
            if (!is.equals(was)) {
              System.out.println(
                  json
                      ? new JsonObject().put("name", name).put("was", was).put("is", is).encode()
                      : String.format("%-32s %s -> %s", name, was == null ? "" : was, is));
            }
          });
      before.keySet().stream()
          .filter(name -> !now.containsKey(name))
          .forEach(
              name ->
                  System.out.println(
                      json
                          ? new JsonObject()
                              .put("name", name)
                              .put("was", before.get(name))
                              .putNull("is")
                              .encode()
                          : String.format("%-32s %s -> forgotten", name, before.get(name))));
      before.clear();
      before.putAll(now);
      Thread.sleep(PAUSE_MS);
    }
    return AmberpathCommand.DONE;
  }

  @Command(
      name = "forget",
      mixinStandardHelpOptions = true,
      description = "A lost gateway is not coming back: its part falls to the others.")
  int forget(@Parameters(paramLabel = "NAME") String name) throws Exception {
    int status =
        name.matches("[A-Za-z0-9._-]{1,32}")
            ? desk.ask(file, "POST", AdminEndpoint.FORGET_PATH + name).statusCode()
            : CONFLICT;
    if (status == AdminRequest.OK) {
      System.out.println(
          json ? new JsonObject().put("name", name).put("is", "left").encode() : name + ": left");
      return AmberpathCommand.DONE;
    }
    System.err.println(name + ": nothing was changed: this gateway does not hold it for lost");
    return AmberpathCommand.FAILED;
  }
}
