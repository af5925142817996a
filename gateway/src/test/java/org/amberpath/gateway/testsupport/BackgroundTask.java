package org.amberpath.gateway.testsupport;

/** What runs beside a test, until it fails or its thread is interrupted. */
public interface BackgroundTask {
  /** Runs; a failure ends the task alone. */
  void run() throws Exception;
}
