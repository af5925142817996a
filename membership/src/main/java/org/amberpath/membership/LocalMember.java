package org.amberpath.membership;

/**
 * What this process says of itself: its own update, whose incarnation rises with each refutation,
 * and whether it has heard a whole list of members.
 */
final class LocalMember {
  private static final int JOIN_TIMEOUT_PERIODS = 8;

  private final long startedAtNanos;
  private final long joinTimeoutNanos;
  private MemberUpdate update;
  private boolean fullySynced;

  LocalMember(MemberUpdate update, long periodNanos, long nowNanos) {
    this.update = update;
    startedAtNanos = nowNanos;
    joinTimeoutNanos = JOIN_TIMEOUT_PERIODS * periodNanos;
  }

  MemberUpdate update() {
    return update;
  }

  String name() {
    return update.name();
  }

  long instanceId() {
    return update.instanceId();
  }

  long incarnation() {
    return update.incarnation();
  }

  /** Whether so long has passed since the start that nobody else is expected to answer. */
  boolean joinTimeoutPassed(long nowNanos) {
    return nowNanos - startedAtNanos > joinTimeoutNanos;
  }

  /** Whether this process has heard a whole list of members since it started or stood still. */
  boolean isFullySynced() {
    return fullySynced;
  }

  /** A whole list was heard. */
  void fullListHeard() {
    fullySynced = true;
  }

  /** What was heard is too old to rely on. */
  void listOutdated() {
    fullySynced = false;
  }

  /** Takes a higher incarnation, alive. */
  void raiseIncarnation(long incarnation) {
    update = with(incarnation, MemberStatus.ALIVE);
  }

  /** From now on this process says that it left. */
  void leave() {
    update = with(update.incarnation(), MemberStatus.LEFT);
  }

  private MemberUpdate with(long incarnation, MemberStatus status) {
    return new MemberUpdate(
        update.name(), update.address(), incarnation, update.instanceId(), status, update.name());
  }
}
