package org.amberpath.registry.runtime;

import java.io.IOException;

/** A token could not be obtained. Messages contain nothing that was read from a file or sent. */
abstract sealed class CredentialException extends Exception {
  private static final long serialVersionUID = 1;

  private CredentialException(String message, Throwable cause) {
    super(message, cause);
  }

  /** The secret file can't be read. */
  static final class SecretUnreadable extends CredentialException {
    private static final long serialVersionUID = 1;

    SecretUnreadable(IOException cause) {
      super("the secret file can't be read", cause);
    }
  }

  /** The secret file exceeds the maximum size. */
  static final class SecretTooLong extends CredentialException {
    private static final long serialVersionUID = 1;

    SecretTooLong(int maxBytes) {
      super("the secret file is longer than " + maxBytes + " bytes", null);
    }
  }

  /** The registry rejected the login. */
  static final class LoginRejected extends CredentialException {
    private static final long serialVersionUID = 1;

    LoginRejected(int status) {
      super("login rejected with HTTP status " + status, null);
    }
  }
}
