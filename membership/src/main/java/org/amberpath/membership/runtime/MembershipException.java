package org.amberpath.membership.runtime;

import java.io.IOException;

/**
 * Thrown when a gateway cannot join its fleet or reload its keys. The message is shown to
 * operators: it names the setting and never contains a key.
 */
public abstract sealed class MembershipException extends IOException {
  private MembershipException(String message, Throwable cause) {
    super(message, cause);
  }

  /** The gateway's name does not match the pattern of member names. */
  public static final class InvalidName extends MembershipException {
    InvalidName(String name) {
      super(
          "PROXY_NAME: with [fleet], expected 1 to 32 letters, digits, '.', '_' or '-', but is "
              + name,
          null);
    }
  }

  /** The key file can be read, but its content is invalid. */
  public static final class InvalidKeyFile extends MembershipException {
    InvalidKeyFile(String message) {
      super("[fleet] key: " + message, null);
    }
  }

  /** The key file cannot be read, or an address cannot be bound. */
  public static final class StartFailed extends MembershipException {
    StartFailed(Throwable cause) {
      super("[fleet]: membership cannot start: " + cause, cause);
    }
  }
}
