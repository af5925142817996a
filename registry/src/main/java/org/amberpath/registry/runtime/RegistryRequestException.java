package org.amberpath.registry.runtime;

import org.amberpath.registry.RegistryFailure;

/** A request of an operator or a task failed; the message is shown to the operator. */
public abstract sealed class RegistryRequestException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private RegistryRequestException(String message) {
    super(message);
  }

  /** An endpoint failed the request. */
  public static final class EndpointFailed extends RegistryRequestException {
    private static final long serialVersionUID = 1;

    private final RegistryFailure failure;

    EndpointFailed(String endpoint, RegistryFailure failure) {
      super(endpoint + ": " + describe(failure));
      this.failure = failure;
    }

    /** Why the request has failed. */
    public RegistryFailure failure() {
      return failure;
    }

    private static String describe(RegistryFailure failure) {
      return switch (failure) {
        case REFUSED -> "nothing listens there";
        case TIMED_OUT -> "no connection in time";
        case UNAUTHORISED -> "it does not take this token or user";
        case UNTRUSTED -> "no TLS connection: look at trust, certificate and key";
        case UNAVAILABLE -> "it can't serve now";
        case THROTTLED -> "it asks for fewer calls";
        case BROKEN, UNREADABLE, LAGGING -> "the connection broke, or what came can't be read";
      };
    }
  }

  /** An endpoint did not respond in time, so a write may or may not have been carried out. */
  public static final class AnswerTimedOut extends RegistryRequestException {
    private static final long serialVersionUID = 1;

    AnswerTimedOut(String endpoint, long timeoutMillis) {
      super(
          endpoint + ": no answer in " + timeoutMillis + " ms; a write may have been carried out");
    }
  }

  /** The registry holds more keys than the settings allow. */
  public static final class TooManyKeys extends RegistryRequestException {
    private static final long serialVersionUID = 1;

    TooManyKeys(int maxKeys) {
      super("more than " + maxKeys + " keys");
    }
  }
}
