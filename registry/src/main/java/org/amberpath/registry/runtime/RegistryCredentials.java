package org.amberpath.registry.runtime;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The token that requests show: from a file, or from a log-in with a password that is in a file.
 * Files are read off the event loop; all else runs on it.
 */
final class RegistryCredentials {
  /** Logs in at the endpoint that a token is needed for. */
  interface Login {
    /** Sends a log-in and returns its token. */
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

  /** The token to show; empty for none. */
  String token() {
    return token;
  }

  /** Whether a token must be fetched before anything is sent. */
  boolean isTokenMissing() {
    return token.isEmpty() && (settings.token() != null || settings.user() != null);
  }

  /** Forgets the token, since its file may be another one now. */
  void forgetToken() {
    token = "";
  }

  /**
   * Fetches the token anew; false where it is the one that was rejected. Fails with {@link
   * CredentialException}, or as the log-in does.
   */
  Future<Boolean> renewToken(Login login) {
    String before = token;
    Future<String> next;
    if (settings.token() != null) {
      next = readSecret(settings.token());
    } else if (settings.user() != null) {
      next =
          readSecret(settings.password())
              .compose(
                  password -> login.send(EtcdProtocol.loginRequest(settings.user(), password)));
    } else {
      return Future.succeededFuture(false);
    }
    return next.map(
        fetched -> {
          token = fetched;
          return !fetched.equals(before);
        });
  }

  private Future<String> readSecret(Path file) {
    return vertx.executeBlocking(() -> secret(file));
  }

  /** Reads a secret from a file, without the white space around it. */
  static String secret(Path file) throws CredentialException {
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
