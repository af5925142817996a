package org.amberpath.leadership;

/** A configuration of leadership that its invariants can't be kept with. */
public abstract sealed class InvalidLeadershipConfigException extends IllegalArgumentException {
  private static final long serialVersionUID = 1;

  private InvalidLeadershipConfigException(String message) {
    super(message);
  }

  /** Timings out of their bounds. */
  public static final class Timings extends InvalidLeadershipConfigException {
    private static final long serialVersionUID = 1;

    Timings(String message) {
      super(message);
    }
  }

  /** A list of voters that is empty, even, too long, or names one twice. */
  public static final class Voters extends InvalidLeadershipConfigException {
    private static final long serialVersionUID = 1;

    Voters(String message) {
      super(message);
    }
  }
}
