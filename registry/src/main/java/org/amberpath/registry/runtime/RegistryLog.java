package org.amberpath.registry.runtime;

import java.util.logging.Logger;

/**
 * The log of a registry source. Guards it against a registry that gives cause for a line with every
 * call: {@value #MAX_LINES} lines a period, {@value #MAX_LINE_LENGTH} characters each; what is past
 * that is counted. On the event loop.
 */
final class RegistryLog {
  private static final Logger LOG = Logger.getLogger(RegistrySource.class.getName());
  private static final int MAX_LINES = 8;
  private static final int MAX_LINE_LENGTH = 200;

  private int lineCount;
  private int suppressedCount;

  /** Logs a line of the session or the view, within the bound. */
  void info(String line) {
    if (lineCount < MAX_LINES) {
      lineCount++;
      LOG.info("registry: " + line.substring(0, Math.min(line.length(), MAX_LINE_LENGTH)));
    } else {
      suppressedCount++;
    }
  }

  /** Logs what happens once a start or a reload. */
  void once(String line) {
    LOG.info("registry: " + line);
  }

  /** Logs what an operator should look at, likewise. */
  void warning(String line) {
    LOG.warning("registry: " + line);
  }

  /** A period is over: the next lines are logged again. */
  void periodEnded() {
    if (suppressedCount > 0) {
      LOG.info("registry: " + suppressedCount + " more lines");
    }
    lineCount = 0;
    suppressedCount = 0;
  }
}
