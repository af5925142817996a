package org.amberpath.gateway;

import java.util.logging.Logger;

/**
 * What peers did wrong: counted, and told in one line a sweep at most, so that no peer can flood
 * the log.
 */
final class ProtocolErrorLog {
  private static final Logger LOG = Logger.getLogger(ProtocolErrorLog.class.getName());
  private static final int LONGEST = 200;

  private long many;
  private Object from;
  private String why;

  void add(Object whose, String what) {
    many++;
    from = whose;
    why = what;
  }

  void sweep() {
    if (many > 0) {
      String line = from + ": " + why;
      LOG.warning(
          (many == 1 ? "" : many + " times, last: ")
              + line.substring(0, Math.min(line.length(), LONGEST)));
      many = 0;
      from = null;
    }
  }
}
