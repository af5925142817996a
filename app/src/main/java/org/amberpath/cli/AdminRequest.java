package org.amberpath.cli;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.amberpath.membership.runtime.MembershipSettings;

/** A running gateway's operators' desk, at the address that its [fleet] names. */
final class AdminRequest {
  static final int OK = 200;
  private static final Duration PATIENCE = Duration.ofSeconds(5);

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(PATIENCE).build();

  HttpResponse<String> ask(Path file, String method, String path)
      throws IOException, InterruptedException {
    MembershipSettings fleet = DeploymentFile.read(file).fleet();
    if (fleet == null || fleet.adminAddress() == null) {
      throw new InvalidSettingsException(
          String.valueOf(file), "fleet", "operators", file + ": [fleet] operators: missing");
    }
    URI at =
        URI.create(
            "http://"
                + fleet.adminAddress().hostAddress()
                + ":"
                + fleet.adminAddress().port()
                + path);
    try {
      return client.send(
          HttpRequest.newBuilder(at)
              .timeout(PATIENCE)
              .method(method, HttpRequest.BodyPublishers.noBody())
              .build(),
          HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new IOException("no gateway answers at " + at.getAuthority() + ": " + e, e);
    }
  }

  JsonObject page(Path file, String path) throws IOException, InterruptedException {
    HttpResponse<String> answer = ask(file, "GET", path);
    if (answer.statusCode() != OK) {
      throw new IOException("the gateway has no such page: status " + answer.statusCode());
    }
    return new JsonObject(answer.body());
  }
}
