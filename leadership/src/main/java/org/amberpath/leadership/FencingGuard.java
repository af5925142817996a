package org.amberpath.leadership;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What a recipient of an owner's word remembers: the highest term of each task, and who came under
 * it. Word of an older term is refused, with what was seen; so is a second owner's under the same.
 * Bounds: {@value #MOST} tasks, those heard of last.
 */
public final class FencingGuard {
  private static final int MOST = 256;

  private record Seen(long term, String by) {}

  private final Map<String, Seen> tasks =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Seen> eldest) {
          return size() > MOST;
        }
      };

  /** Whether this may take effect; what is taken counts from then on. */
  public boolean tryAdmit(String task, long term, String by) {
    Seen seen = tasks.get(task);
    boolean passes = seen == null || term > seen.term || (term == seen.term && by.equals(seen.by));
    if (passes) {
      tasks.put(task, new Seen(term, by));
    }
    return passes;
  }

  /** The highest term that was seen of a task; 0 for none. It is told with a refusal. */
  public long highestTerm(String task) {
    Seen seen = tasks.get(task);
    return seen == null ? 0 : seen.term;
  }
}
