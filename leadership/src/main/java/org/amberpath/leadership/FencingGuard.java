package org.amberpath.leadership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Fencing check at a recipient of leaders' messages. It stores the highest term of each task and
 * that term's leader, and rejects messages of lower terms and of a second leader under the same
 * term.
 *
 * <p>Bounds: {@value #MAX_TASKS} tasks; the least recently used is evicted.
 */
public final class FencingGuard {
  private static final int MAX_TASKS = 256;

  private record HighestTerm(long number, String leader) {}

  private final Map<String, HighestTerm> terms =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, HighestTerm> eldest) {
          return size() > MAX_TASKS;
        }
      };

  /**
   * Returns whether a message of this term and leader may take effect, and stores its term if so.
   */
  public boolean tryAdmit(String task, long term, String leader) {
    HighestTerm known = terms.get(task);
    boolean admitted =
        known == null
            || term > known.number
            || (term == known.number && leader.equals(known.leader));
    if (admitted) {
      terms.put(task, new HighestTerm(term, leader));
    }
    return admitted;
  }

  /** Returns the highest term seen for a task, which a refusal reports; 0 for none. */
  public long highestTerm(String task) {
    HighestTerm known = terms.get(task);
    return known == null ? 0 : known.number;
  }
}
