package org.amberpath.gateway.testsupport;

/** A task on a thread of the testbed that runs concurrently with a test. */
public interface BackgroundTask {
  /** Runs the task until it ends, throws or is interrupted; an exception does not fail the test. */
  void run() throws Exception;
}
