package org.amberpath.lab.simulation;

/** Ends a run of a model: what must hold after each step does not. */
public final class InvariantViolation extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** With what was found. */
  public InvariantViolation(String message) {
    super(message);
  }
}
