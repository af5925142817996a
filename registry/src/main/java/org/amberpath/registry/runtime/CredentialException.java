package org.amberpath.registry.runtime;

import java.io.IOException;

/** No token could be had. No message holds anything that was read from a file or sent. */
abstract sealed class CredentialException extends Exception {
  private static final long serialVersionUID = 1;

  private CredentialException(String message, Throwable cause) {
    super(message, cause);
  }

  /** The file of a secret can't be read. */
  static final class SecretUnreadable extends CredentialException {
    private static final long serialVersionUID = 1;

    SecretUnreadable(IOException cause) {
      super("the file of a secret can't be read", cause);
    }
  }

  /** The file of a secret is longer than a secret may be. */
  static final class SecretTooLong extends CredentialException {
    private static final long serialVersionUID = 1;

    SecretTooLong(int maxBytes) {
      super("the file of a secret is longer than " + maxBytes + " bytes", null);
    }
  }

  /** The registry does not let this user log in. */
  static final class LoginRejected extends CredentialException {
    private static final long serialVersionUID = 1;

    LoginRejected(int status) {
      super("log-in: status " + status, null);
    }
  }
}
