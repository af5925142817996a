package org.amberpath.leadership;

/**
 * One message between a candidate and a voter, on one task.
 *
 * @param ballot the candidate's ballot number
 * @param other of PROPOSE and ACCEPTED: the number of the accept round under that ballot; of
 *     PROMISE: for how many nanoseconds another still holds the lease, 0 for none; of REFUSED: the
 *     ballot that the voter has promised
 * @param last of PROMISE: the ballot that this voter accepted last, 0 for none that it remembers
 */
public record LeaseMessage(Kind kind, String task, long ballot, long other, long last) {
  /** The highest valid ballot. A higher one, which would leave none above it, is not decoded. */
  public static final long HIGHEST = 1L << 62;

  /** A message that names no ballot accepted before. */
  public LeaseMessage(Kind kind, String task, long ballot, long other) {
    this(kind, task, ballot, other, 0);
  }

  /** The kinds of message, in the order of their numbers on the wire. */
  public enum Kind {
    /** From a candidate: asks for a promise to accept no lower ballot. */
    PREPARE,
    /** From a voter: it has promised, or another still holds the lease. */
    PROMISE,
    /** From a candidate or leader: asks to accept its lease under this ballot. */
    PROPOSE,
    /** From a voter: it has accepted, and keeps the lease from now on. */
    ACCEPTED,
    /** From a voter: it has promised a higher ballot. */
    REFUSED,
    /** From a leader: it gives up the lease that was accepted. */
    RELEASE
  }
}
