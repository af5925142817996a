package org.amberpath.leadership;

/**
 * A message between a candidate and a voter about one task.
 *
 * @param ballot the candidate's ballot number
 * @param detail of PROPOSE and ACCEPTED: the number of the accept round under that ballot; of
 *     PROMISE: the nanoseconds left of another process's lease, 0 for none; of REFUSED: the ballot
 *     that the voter has promised
 * @param lastAcceptedBallot of PROMISE: the ballot that this voter accepted last, 0 if it has no
 *     record of one
 */
public record LeaseMessage(
    Kind kind, String task, long ballot, long detail, long lastAcceptedBallot) {
  /**
   * The highest valid ballot. Higher ones are not decoded, because no candidate could outbid them.
   */
  public static final long HIGHEST_BALLOT = 1L << 62;

  /** Creates a message without a previously accepted ballot. */
  public LeaseMessage(Kind kind, String task, long ballot, long detail) {
    this(kind, task, ballot, detail, 0);
  }

  /** The kinds of message, in the order of their numbers on the wire. */
  public enum Kind {
    /** From a candidate: asks for a promise to accept no lower ballot. */
    PREPARE,
    /** From a voter: it has promised, or another process still holds the lease. */
    PROMISE,
    /** From a candidate or leader: asks to accept its lease under this ballot. */
    PROPOSE,
    /** From a voter: it has accepted the lease, which lasts from now on at the voter. */
    ACCEPTED,
    /** From a voter: it has promised a higher ballot. */
    REFUSED,
    /** From a leader: it gives up its accepted lease. */
    RELEASE
  }
}
