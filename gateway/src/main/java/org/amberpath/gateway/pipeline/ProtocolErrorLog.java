package org.amberpath.gateway.pipeline;

import java.util.logging.Logger;

/**
 * Protocol errors of peers: counted, and logged in at most one line a sweep, so that no peer can
 * flood the log.
 */
public final class ProtocolErrorLog {
  private static final Logger LOG = Logger.getLogger(ProtocolErrorLog.class.getName());
  private static final int MAX_LINE_CHARS = 200;

  private long count;
  private Object lastPeer;
  private String lastError;

  /** Counts an error; only the last one of a sweep is logged in full. */
  void add(Object peer, String error) {
    count++;
    lastPeer = peer;
    lastError = error;
  }

  /** Logs what was added since the last sweep, if anything was. */
  void sweep() {
    if (count > 0) {
      String line = lastPeer + ": " + lastError;
      LOG.warning(
          (count == 1 ? "" : count + " times, last: ")
              + line.substring(0, Math.min(line.length(), MAX_LINE_CHARS)));
      count = 0;
      lastPeer = null;
    }
  }
}
