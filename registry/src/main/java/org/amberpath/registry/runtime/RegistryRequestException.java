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
        case REFUSED -> "connection refused: nothing listens there";
        case TIMED_OUT -> "the connection timed out";
        case UNAUTHORISED -> "the token or user was rejected";
        case UNTRUSTED -> "the TLS handshake failed: check trust, certificate and key";
        case UNAVAILABLE -> "the endpoint can't serve requests now";
        case THROTTLED -> "the endpoint limits the request rate: retry later";
        case BROKEN, UNREADABLE, LAGGING ->
            "the connection broke, or the response can't be decoded";
      };
    }
  }

  /** An endpoint did not respond in time, so a write may or may not have been carried out. */
  public static final class AnswerTimedOut extends RegistryRequestException {
    private static final long serialVersionUID = 1;

    AnswerTimedOut(String endpoint, long timeoutMillis) {
      super(
          endpoint
              + ": no response within "
              + timeoutMillis
              + " ms; a write may have been carried out");
    }
  }

  /** The registry holds more keys than the settings allow. */
  public static final class TooManyKeys extends RegistryRequestException {
    private static final long serialVersionUID = 1;

    TooManyKeys(int maxKeys) {
      super("the registry holds more than " + maxKeys + " keys (most-keys)");
    }
  }
}
