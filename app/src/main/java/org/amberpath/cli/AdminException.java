package org.amberpath.cli;

/** A request to the admin endpoint of a running gateway failed; the message says how. */
abstract sealed class AdminException extends Exception
    permits AdminException.Unreachable, AdminException.UnexpectedStatus {
  private static final long serialVersionUID = 1;

  private AdminException(String message, Throwable cause) {
    super(message, cause);
  }

  /** No response came: nothing listens there, the connection broke, or it timed out. */
  static final class Unreachable extends AdminException {
    private static final long serialVersionUID = 1;

    Unreachable(String address, Exception cause) {
      super("no gateway answers at " + address + ": " + cause, cause);
    }
  }

  /** The response to a read has another status than 200. */
  static final class UnexpectedStatus extends AdminException {
    private static final long serialVersionUID = 1;

    UnexpectedStatus(int status) {
      super("the gateway has no such page: status " + status, null);
    }
  }
}
