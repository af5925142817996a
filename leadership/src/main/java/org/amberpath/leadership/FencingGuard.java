package org.amberpath.leadership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Fencing at a recipient of leaders' messages: it remembers the highest term of each task, and who
 * led it. A message of an older term is refused, and so is one of a second leader under the same
 * term.
 *
 * <p>Bounds: {@value #MAX_TASKS} tasks; the least recently used is forgotten.
 */
public final class FencingGuard {
  private static final int MAX_TASKS = 256;

  private record Term(long number, String leader) {}

  private final Map<String, Term> terms =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Term> eldest) {
          return size() > MAX_TASKS;
        }
      };

  /** Whether a message may take effect; the term of one that may is remembered. */
  public boolean tryAdmit(String task, long term, String leader) {
    Term known = terms.get(task);
    boolean admitted =
        known == null
            || term > known.number
            || (term == known.number && leader.equals(known.leader));
    if (admitted) {
      terms.put(task, new Term(term, leader));
    }
    return admitted;
  }

  /** The highest term seen of a task, to be sent with a refusal; 0 for none. */
  public long highestTerm(String task) {
    Term known = terms.get(task);
    return known == null ? 0 : known.number;
  }
}
