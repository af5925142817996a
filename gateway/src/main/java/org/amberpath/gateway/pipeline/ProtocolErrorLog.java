package org.amberpath.gateway.pipeline;

import java.util.logging.Logger;

/**
 * Logs the protocol errors of clients and caches, in at most one line for each sweep, so that no
 * peer can flood the log. The line states the number of errors and the last one.
 */
public final class ProtocolErrorLog {
  private static final Logger LOG = Logger.getLogger(ProtocolErrorLog.class.getName());
  private static final int MAX_LINE_CHARS = 200;

  private long count;
  private Object lastPeer;
  private String lastError;

  /** Counts an error and keeps it as the one that the next sweep logs. */
  void add(Object peer, String error) {
    count++;
    lastPeer = peer;
    lastError = error;
  }

  /** Logs the errors that were added since the last sweep, if there were any. */
  void flush() {
    if (count > 0) {
      String line = lastPeer + ": " + lastError;
      LOG.warning(
          (count == 1 ? "protocol error: " : count + " protocol errors, last: ")
              + line.substring(0, Math.min(line.length(), MAX_LINE_CHARS)));
      count = 0;
      lastPeer = null;
    }
  }
}
