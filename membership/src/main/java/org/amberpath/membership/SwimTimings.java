package org.amberpath.membership;

/**
 * What the operators may set of a fleet's view. Times are nanoseconds.
 *
 * @param told the most gateways that may run at once: up to so many, bounds are divided by it
 *     whatever is seen
 * @param period between two probes of one gateway
 * @param answer how long the answer to a probe may take, before others are asked to try
 * @param rumours how many fit into one datagram
 */
public record SwimTimings(int told, long period, long answer, int rumours) {
  private static final long MS = 1_000_000;

  public SwimTimings {
    if (told < 1 || period < 10 * MS || answer < MS || 3 * answer > period || rumours < 4) {
      throw new IllegalArgumentException(
          "told at least 1, a period of three answers and 10 ms at least, 4 rumours");
    }
  }

  /** A probe each half second. */
  public static SwimTimings usual(int told) {
    return every(told, 500 * MS);
  }

  /**
   * A probe each period, three tenths of it for an answer, and as many rumours as fit with the
   * longest names.
   */
  public static SwimTimings every(int told, long period) {
    return new SwimTimings(told, period, period * 3 / 10, 10);
  }
}
