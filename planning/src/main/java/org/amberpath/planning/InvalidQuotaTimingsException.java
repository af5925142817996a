package org.amberpath.planning;

/** Timings of quotas that the bound on their sum can't be kept with. */
public final class InvalidQuotaTimingsException extends IllegalArgumentException {
  private static final long serialVersionUID = 1;

  InvalidQuotaTimingsException(String message) {
    super(message);
  }
}
