package org.amberpath.lab.leadership;

import java.util.Map;
import java.util.TreeMap;
import org.amberpath.leadership.Leadership;

/**
 * The way that is wrong, as a baseline: who has the lowest name of all that it hears of owns every
 * task.
 */
final class LowestIdLeadership implements Leadership {
  private final String own;
  private final long patience;
  private final Map<String, Long> heardAt = new TreeMap<>();
  private long since = Long.MAX_VALUE, term, now;

  LowestIdLeadership(String own, long patience, long now) {
    this.own = own;
    this.patience = patience;
    since = now;
  }

  void heard(long time, String name) {
    heardAt.put(name, time);
    tick(time);
  }

  @Override
  public State state() {
    return isLeader(now) ? State.HOLDING : State.FOLLOWING;
  }

  @Override
  public long term() {
    return term;
  }

  @Override
  public boolean isLeader(long time) {
    return time - since > patience
        && heardAt.entrySet().stream()
            .noneMatch(one -> one.getKey().compareTo(own) < 0 && time - one.getValue() < patience);
  }

  @Override
  public long leaseExpiresAtNanos() {
    return Long.MAX_VALUE / 2;
  }

  @Override
  public long nextTickNanos() {
    return now + patience / 4;
  }

  @Override
  public void tick(long time) {
    now = time;
    term = time / 1_000_000;
  }

  @Override
  public void higherTermSeen(long time, long seen) {
    term = Math.max(term, seen + 1);
  }

  @Override
  public void predecessorStopped(long time, long ofTerm) {
    tick(time);
  }

  @Override
  public void release(long time) {
    resign(time);
  }

  @Override
  public void resign(long time) {
    since = Long.MAX_VALUE / 2;
  }
}
