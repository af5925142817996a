package org.amberpath.membership;

/**
 * The state of the local member: its own update, whose incarnation rises with each refutation, and
 * whether this process has received a complete member list.
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

  /**
   * Whether more than {@value #JOIN_TIMEOUT_PERIODS} probe intervals have passed since the start,
   * after which a process that has received no answer assumes that no other member is reachable.
   */
  boolean joinTimeoutPassed(long nowNanos) {
    return nowNanos - startedAtNanos > joinTimeoutNanos;
  }

  /** Whether this process has received a complete member list since its start or last pause. */
  boolean isFullySynced() {
    return fullySynced;
  }

  /** Records that a complete member list was received. */
  void markFullySynced() {
    fullySynced = true;
  }

  /** Records that the member list received so far is outdated. */
  void markOutdated() {
    fullySynced = false;
  }

  /** Sets a higher incarnation and the status {@link MemberStatus#ALIVE}. */
  void raiseIncarnation(long incarnation) {
    update = updateWith(incarnation, MemberStatus.ALIVE);
  }

  /** Sets the status {@link MemberStatus#LEFT}, which all later messages carry. */
  void leave() {
    update = updateWith(update.incarnation(), MemberStatus.LEFT);
  }

  private MemberUpdate updateWith(long incarnation, MemberStatus status) {
    return new MemberUpdate(
        update.name(), update.address(), incarnation, update.instanceId(), status, update.name());
  }
}
