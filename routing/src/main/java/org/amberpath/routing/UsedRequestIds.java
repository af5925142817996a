package org.amberpath.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the ids under which no further request may be sent. Guards against a client that
 * disconnects and sends a request again under its id: the gateway no longer holds the first one, so
 * it would execute the second one as a new request, or take a late reply to the first one for the
 * reply to the second. Bounded in number and time. Confined to one event loop.
 */
public final class UsedRequestIds {
  private static final int MAX_IDS = 4096;

  /** Longer than ten times the longest deadline. */
  private static final long RETENTION_NANOS = 30_000_000_000L;

  /** The time at which an attempt of each request last ended, the earliest first. */
  private final Map<String, Long> endedAtNanosById = new LinkedHashMap<>();

  /**
   * Returns whether an id may not be used again after an attempt that was written has ended: the
   * request may have been executed and must not be executed twice, or its reply may still come.
   */
  public static boolean isUsedUp(AttemptOutcome outcome, Idempotency idempotency) {
    boolean replyMayCome =
        outcome == AttemptOutcome.CANCELLED || outcome == AttemptOutcome.TIMED_OUT;
    return replyMayCome || (!outcome.provesNotExecuted() && idempotency != Idempotency.IDEMPOTENT);
  }

  /** Records that an id may not be used again. */
  public void add(String requestId, long nowNanos) {
    endedAtNanosById.remove(requestId);
    endedAtNanosById.put(requestId, nowNanos);
    Iterator<Long> earliest = endedAtNanosById.values().iterator();
    while (endedAtNanosById.size() > MAX_IDS || nowNanos - earliest.next() > RETENTION_NANOS) {
      removeEarliest();
      earliest = endedAtNanosById.values().iterator();
    }
  }

  private void removeEarliest() {
    Iterator<String> ids = endedAtNanosById.keySet().iterator();
    ids.next();
    ids.remove();
  }

  /** Returns whether no further request may be sent under this id. */
  public boolean contains(String requestId, long nowNanos) {
    Long endedAtNanos = endedAtNanosById.get(requestId);
    return endedAtNanos != null && nowNanos - endedAtNanos <= RETENTION_NANOS;
  }
}
