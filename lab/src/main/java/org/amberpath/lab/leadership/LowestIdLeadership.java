package org.amberpath.lab.leadership;

import java.util.Map;
import java.util.TreeMap;
import org.amberpath.leadership.Leadership;

/**
 * Faulty baseline without leases: a gateway leads every task if it has received no heartbeat of a
 * gateway with a lower name within the time-out.
 */
final class LowestIdLeadership implements Leadership {
  private final String ownName;
  private final long timeoutNanos;
  private final Map<String, Long> heartbeatReceivedNanos = new TreeMap<>();
  private long leaderSinceNanos = Long.MAX_VALUE;
  private long term;
  private long lastTickNanos;

  LowestIdLeadership(String ownName, long timeoutNanos, long nowNanos) {
    this.ownName = ownName;
    this.timeoutNanos = timeoutNanos;
    leaderSinceNanos = nowNanos;
  }

  void heartbeatReceived(long nowNanos, String name) {
    heartbeatReceivedNanos.put(name, nowNanos);
    tick(nowNanos);
  }

  @Override
  public State state() {
    return isLeader(lastTickNanos) ? State.HOLDING : State.FOLLOWING;
  }

  @Override
  public long term() {
    return term;
  }

  @Override
  public boolean isLeader(long nowNanos) {
    return nowNanos - leaderSinceNanos > timeoutNanos
        && heartbeatReceivedNanos.entrySet().stream()
            .noneMatch(
                entry ->
                    entry.getKey().compareTo(ownName) < 0
                        && nowNanos - entry.getValue() < timeoutNanos);
  }

  @Override
  public long leaseExpiresAtNanos() {
    return Long.MAX_VALUE / 2;
  }

  @Override
  public long nextTickNanos() {
    return lastTickNanos + timeoutNanos / 4;
  }

  @Override
  public void tick(long nowNanos) {
    lastTickNanos = nowNanos;
    term = nowNanos / 1_000_000;
  }

  @Override
  public void higherTermSeen(long nowNanos, long seenTerm) {
    term = Math.max(term, seenTerm + 1);
  }

  @Override
  public void predecessorStopped(long nowNanos, long stoppedTerm) {
    tick(nowNanos);
  }

  @Override
  public void release(long nowNanos) {
    resign(nowNanos);
  }

  @Override
  public void resign(long nowNanos) {
    leaderSinceNanos = Long.MAX_VALUE / 2;
  }
}
