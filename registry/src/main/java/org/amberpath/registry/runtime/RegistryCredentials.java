package org.amberpath.registry.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Provides the access token of requests: read from a file, or obtained by a login with a password
 * from a file. Files are read off the event loop; everything else runs on it.
 */
final class RegistryCredentials {
  /** Logs in at the endpoint for which a token is needed. */
  interface Login {
    /** Sends a login request and returns its token. */
    Future<String> send(RegistryProtocol.Request login);
  }

  private static final int MAX_SECRET_BYTES = 16_384;

  private final Vertx vertx;
  private final RegistrySettings settings;
  private String token = "";

  RegistryCredentials(Vertx vertx, RegistrySettings settings) {
    this.vertx = vertx;
    this.settings = settings;
  }

  /** The current token; empty for none. */
  String token() {
    return token;
  }

  /** Whether a token must be fetched before a request can be sent. */
  boolean isTokenMissing() {
    return token.isEmpty() && (settings.tokenFile() != null || settings.user() != null);
  }

  /** Discards the token, since its file may have changed. */
  void discardToken() {
    token = "";
  }

  /**
   * Fetches a new token; returns false if it equals the previous one, which was rejected. Fails
   * with {@link CredentialException}, or with the login's failure.
   */
  Future<Boolean> renewToken(Login login) {
    String previous = token;
    Future<String> fetch;
    if (settings.tokenFile() != null) {
      fetch = readSecret(settings.tokenFile());
    } else if (settings.user() != null) {
      fetch =
          readSecret(settings.passwordFile())
              .compose(
                  password -> login.send(EtcdProtocol.loginRequest(settings.user(), password)));
    } else {
      return Future.succeededFuture(false);
    }
    return fetch.map(
        fetched -> {
          token = fetched;
          return !fetched.equals(previous);
        });
  }

  private Future<String> readSecret(Path file) {
    return vertx.executeBlocking(() -> readSecretFile(file));
  }

  /** Reads a secret from a file and strips surrounding white space. */
  static String readSecretFile(Path file) throws CredentialException {
    try {
      if (Files.size(file) > MAX_SECRET_BYTES) {
        throw new CredentialException.SecretTooLong(MAX_SECRET_BYTES);
      }
      return Files.readString(file, StandardCharsets.UTF_8).strip();
    } catch (IOException e) {
      throw new CredentialException.SecretUnreadable(e);
    }
  }
}
