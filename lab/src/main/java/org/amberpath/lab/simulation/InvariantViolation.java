package org.amberpath.lab.simulation;

/** Thrown when an invariant of a model does not hold after a step; ends the run. */
public final class InvariantViolation extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** Creates an exception whose message states which invariant is violated, and by what state. */
  public InvariantViolation(String message) {
    super(message);
  }
}
