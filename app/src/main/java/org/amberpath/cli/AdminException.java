package org.amberpath.cli;

/** Signals that a request to the admin endpoint of a running gateway failed. */
abstract sealed class AdminException extends Exception
    permits AdminException.Unreachable, AdminException.UnexpectedStatus {
  private static final long serialVersionUID = 1;

  private AdminException(String message, Throwable cause) {
    super(message, cause);
  }

  /**
   * No response was received: nothing listens at the address, the connection was closed, or the
   * request timed out.
   */
  static final class Unreachable extends AdminException {
    private static final long serialVersionUID = 1;

    Unreachable(String address, Exception cause) {
      super("no response from a gateway at " + address + ": " + cause, cause);
    }
  }

  /** The response to a GET has a status other than 200. */
  static final class UnexpectedStatus extends AdminException {
    private static final long serialVersionUID = 1;

    UnexpectedStatus(int status) {
      super("unexpected response from the gateway: status " + status + ", expected 200", null);
    }
  }
}
