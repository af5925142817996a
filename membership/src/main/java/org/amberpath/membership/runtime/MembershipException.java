package org.amberpath.membership.runtime;

import java.io.IOException;

/**
 * Why a gateway can't take part in its fleet. The message is for operators: it names the setting,
 * and never holds a key.
 */
public abstract sealed class MembershipException extends IOException {
  private MembershipException(String message, Throwable cause) {
    super(message, cause);
  }

  /** The gateway's name doesn't fit into a datagram. */
  public static final class InvalidName extends MembershipException {
    InvalidName(String name) {
      super("PROXY_NAME: with [fleet] 1 to 32 letters, digits, ._- and not " + name, null);
    }
  }

  /** The key file can be read, and what it holds is wrong. */
  public static final class InvalidKeyFile extends MembershipException {
    InvalidKeyFile(String message) {
      super("[fleet] key: " + message, null);
    }
  }

  /** The key file can't be read, or an address can't be listened at. */
  public static final class StartFailed extends MembershipException {
    StartFailed(Throwable cause) {
      super("[fleet]: " + cause, cause);
    }
  }
}
