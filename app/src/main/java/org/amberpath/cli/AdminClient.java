package org.amberpath.cli;

import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import org.amberpath.cli.settings.DeploymentFile;
import org.amberpath.gateway.settings.InvalidSettingsException;
import org.amberpath.membership.runtime.MembershipSettings;

/**
 * Client of the admin endpoint of a running gateway ({@code
 * org.amberpath.membership.runtime.AdminEndpoint}). Requests block the calling thread for at most 5
 * s to connect and 5 s for the response.
 */
final class AdminClient {
  static final int OK = 200;
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final String authority;

  AdminClient(SocketAddress address) {
    authority = address.hostAddress() + ":" + address.port();
  }

  /**
   * Creates a client for the address that {@code [fleet] operators} sets in a deployment file.
   *
   * @throws InvalidSettingsException if the file sets no such address
   */
  static AdminClient fromFile(Path file) {
    return DeploymentFile.read(file)
        .membership()
        .map(MembershipSettings::adminAddress)
        .map(AdminClient::new)
        .orElseThrow(
            () ->
                new InvalidSettingsException(
                    String.valueOf(file),
                    "fleet",
                    "operators",
                    file + ": [fleet] operators: missing"));
  }

  /** Sends a GET and parses the response as JSON; any status other than 200 is an error. */
  JsonObject get(String path) throws AdminException, InterruptedException {
    HttpResponse<String> response = send("GET", path);
    if (response.statusCode() != OK) {
      throw new AdminException.UnexpectedStatus(response.statusCode());
    }
    return new JsonObject(response.body());
  }

  /**
   * Sends a POST that requests a change; returns the status, 200 if the gateway made the change.
   */
  int post(String path) throws AdminException, InterruptedException {
    return send("POST", path).statusCode();
  }

  private HttpResponse<String> send(String method, String path)
      throws AdminException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + authority + path))
            .timeout(TIMEOUT)
            .method(method, HttpRequest.BodyPublishers.noBody())
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      throw new AdminException.Unreachable(authority, e);
    }
  }
}
