package org.amberpath.leadership;

/**
 * One message between a candidate and a voter, on one task.
 *
 * @param ballot the candidate's number
 * @param other of PROPOSE and ACCEPTED: which proposal under that number; of PROMISE: for how long
 *     another still owns the task, 0 for nobody; of REFUSED: the number that the voter is bound to
 * @param last of PROMISE: the number that this voter accepted last, 0 for none that it remembers
 */
public record LeaseMessage(Kind kind, String task, long ballot, long other, long last) {
  /** No number is above this. Guards against one that leaves none above it. */
  public static final long HIGHEST = 1L << 62;

  /** One that tells of no number before. */
  public LeaseMessage(Kind kind, String task, long ballot, long other) {
    this(kind, task, ballot, other, 0);
  }

  /** Asked and answered in this order; RELEASE lets go what was accepted. */
  public enum Kind {
    PREPARE,
    PROMISE,
    PROPOSE,
    ACCEPTED,
    REFUSED,
    RELEASE
  }
}
