package org.amberpath.registry.runtime;

import java.util.logging.Logger;

/**
 * The log of a registry source. Guards against log flooding by a registry whose responses each give
 * rise to a line: {@value #MAX_LINES} lines per period, {@value #MAX_LINE_LENGTH} characters each;
 * further lines are only counted. Used on the event loop.
 */
final class RegistryLog {
  private static final Logger LOG = Logger.getLogger(RegistrySource.class.getName());
  private static final int MAX_LINES = 8;
  private static final int MAX_LINE_LENGTH = 200;

  private int lineCount;
  private int suppressedCount;

  /** Logs a line of the session or the view, within the limit. */
  void info(String line) {
    if (lineCount < MAX_LINES) {
      lineCount++;
      LOG.info("registry: " + line.substring(0, Math.min(line.length(), MAX_LINE_LENGTH)));
    } else {
      suppressedCount++;
    }
  }

  /** Logs an event of a start or a reload, outside the limit. */
  void infoUnlimited(String line) {
    LOG.info("registry: " + line);
  }

  /** Logs a warning to the operator, outside the limit. */
  void warning(String line) {
    LOG.warning("registry: " + line);
  }

  /** Ends the period: logs the number of suppressed lines and resets the limit. */
  void endPeriod() {
    if (suppressedCount > 0) {
      LOG.info("registry: " + suppressedCount + " more lines were not logged");
    }
    lineCount = 0;
    suppressedCount = 0;
  }
}
