package org.amberpath.planning;

/** Thrown for timings of quotas with which the sum of shares could exceed its bound. */
public final class InvalidQuotaTimingsException extends IllegalArgumentException {
  private static final long serialVersionUID = 1;

  InvalidQuotaTimingsException(String message) {
    super(message);
  }
}
