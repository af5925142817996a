package org.amberpath.leadership;

/** Thrown for a configuration of leader election with which its invariants cannot hold. */
public abstract sealed class InvalidLeadershipConfigException extends IllegalArgumentException {
  private static final long serialVersionUID = 1;

  private InvalidLeadershipConfigException(String message) {
    super(message);
  }

  /** Thrown for timings that are out of their bounds. */
  public static final class Timings extends InvalidLeadershipConfigException {
    private static final long serialVersionUID = 1;

    Timings(String message) {
      super(message);
    }
  }

  /**
   * Thrown for a list of voters that is empty or too long, has an even length, or contains a
   * duplicate.
   */
  public static final class Voters extends InvalidLeadershipConfigException {
    private static final long serialVersionUID = 1;

    Voters(String message) {
      super(message);
    }
  }
}
