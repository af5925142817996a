package org.amberpath.membership;

import java.util.List;

/**
 * A member of a {@link SeededFleet}: at most one process at a time, which runs the protocol under
 * test. Only this class calls the protocol.
 */
final class SeededMember implements SwimProtocol.Output {
  private static final long MS_NANOS = SeededFleet.MS_NANOS;
  private static final double FILTER_BYPASS_PROBABILITY = 0.15;

  final int index;
  final String name;
  final String address;
  private final SeededFleet fleet;
  private SwimProtocol protocol;
  private ReplayFilter filter;
  private int processNumber;
  private long clockOffsetNanos;
  private long instanceId;
  private long pausedUntilNanos;
  private long incarnation;
  private boolean leaving;
  private int observationCount;

  SeededMember(SeededFleet fleet, int index, String name, String address) {
    this.fleet = fleet;
    this.index = index;
    this.name = name;
    this.address = address;
  }

  boolean isRunning() {
    return protocol != null;
  }

  long instanceId() {
    return instanceId;
  }

  /** Returns this member's current update about itself; null while the member is down. */
  MemberUpdate self() {
    return protocol == null ? null : protocol.self();
  }

  // ---- Inputs of the protocol.

  /** Starts a process without state; its clock may be behind that of the previous process. */
  void start() {
    processNumber++;
    leaving = false;
    pausedUntilNanos = 0;
    clockOffsetNanos = (fleet.random.nextInt(10_001) - 5000) * MS_NANOS;
    instanceId = fleet.random.nextLong();
    List<String> seeds =
        processNumber > 1 && fleet.withProbability(0.1)
            ? List.of()
            : List.of("a0", "a1", "a2", address);
    filter = new ReplayFilter(instanceId, fleet.timings.probeIntervalNanos(), clockNanos());
    incarnation = clockNanos() / SeededFleet.SECOND_NANOS;
    protocol =
        new SwimProtocol(
            fleet.timings,
            new MemberUpdate(name, address, incarnation, instanceId, MemberStatus.ALIVE, name),
            seeds,
            fleet.random.nextLong(),
            clockNanos(),
            this);
    fleet.actions.add("start", index, clockNanos(), instanceId);
    recordState();
    int startedProcess = processNumber;
    fleet.scheduleAt(
        fleet.nowNanos() + fleet.random.nextInt(100) * MS_NANOS, () -> tick(startedProcess));
  }

  void startIfDown() {
    if (protocol == null) {
      start();
    }
  }

  void crash() {
    protocol = null;
  }

  void pause(int milliseconds) {
    pausedUntilNanos = fleet.nowNanos() + milliseconds * MS_NANOS;
  }

  void leave() {
    if (protocol != null && !leaving) {
      leaving = true;
      fleet.actions.add("leave", index);
      protocol.leave(clockNanos());
      recordState();
      int leavingProcess = processNumber;
      fleet.scheduleAt(
          fleet.nowNanos() + fleet.random.nextInt(1500) * MS_NANOS,
          () -> stopProcess(leavingProcess));
    }
  }

  private void stopProcess(int endedProcess) {
    if (processNumber == endedProcess) {
      protocol = null;
    }
  }

  void forget(String other) {
    if (protocol != null) {
      boolean forgotten = protocol.forget(clockNanos(), other);
      fleet.actions.add(forgotten ? "forgotten" : "not forgotten", index, other);
      recordState();
    }
  }

  /** Returns the names of the members that this member considers lost. */
  List<String> lostMembers() {
    return protocol == null
        ? List.of()
        : protocol.otherMembers().stream()
            .map(SwimProtocol.ObservedMember::update)
            .filter(update -> update.status() == MemberStatus.LOST)
            .map(MemberUpdate::name)
            .toList();
  }

  void deliver(GossipMessage message) {
    if (protocol == null) {
      return;
    }
    if (pausedUntilNanos > fleet.nowNanos()) {
      // The datagram waits in the socket's receive buffer.
      fleet.scheduleAt(pausedUntilNanos, () -> deliver(message));
      return;
    }
    if (!filter.tryExamine(clockNanos())) {
      fleet.actions.add("unread", index);
      return;
    }
    ReplayFilter.Verdict verdict = filter.check(clockNanos(), message);
    fleet.actions.count("verdict " + verdict);
    fleet.actions.add("verdict", index, verdict);
    boolean bypassesFilter = fleet.withProbability(FILTER_BYPASS_PROBABILITY);
    if (verdict == ReplayFilter.Verdict.ACCEPTED || bypassesFilter) {
      fleet.actions.count("received " + message.kind());
      protocol.messageReceived(clockNanos(), message);
    } else if (verdict == ReplayFilter.Verdict.WRONG_RECIPIENT) {
      protocol.greet(clockNanos(), message.sender());
    }
    recordState();
  }

  private long clockNanos() {
    return fleet.nowNanos() + clockOffsetNanos;
  }

  private void tick(int startedProcess) {
    if (startedProcess != processNumber || protocol == null) {
      return;
    }
    if (pausedUntilNanos <= fleet.nowNanos()) {
      protocol.tick(clockNanos());
      recordState();
    }
    long periodMs = fleet.timings.probeIntervalNanos() / MS_NANOS;
    long delayMs =
        fleet.withProbability(0.6)
            ? periodMs / 5
            : fleet.withProbability(0.02)
                ? fleet.random.nextInt((int) (5 * periodMs))
                : 10L * fleet.random.nextInt((int) (periodMs / 20));
    long nextTickNanos = Math.max(fleet.nowNanos() + delayMs * MS_NANOS, pausedUntilNanos);
    fleet.scheduleAt(nextTickNanos, () -> tick(startedProcess));
  }

  // ---- Outputs of the protocol.

  /** Records the protocol's observable state after an input. */
  private void recordState() {
    MemberUpdate self = protocol.self();
    if (self.incarnation() > incarnation) {
      fleet.actions.count("refuted");
      incarnation = self.incarnation();
    }
    fleet.actions.add(
        "state",
        index,
        protocol.phase(),
        self.incarnation(),
        self.status(),
        protocol.presentCount(),
        protocol.quotaDivisor(),
        protocol.quotaShare());
    if (protocol.quotaShare() > 0 && protocol.quotaDivisor() > fleet.scenario.maxMembers) {
      fleet.actions.count("admitted above the configured maximum");
    }
    if (++observationCount % 50 == 0) {
      recordOtherMembers();
    }
  }

  private void recordOtherMembers() {
    for (SwimProtocol.ObservedMember other : protocol.otherMembers()) {
      addUpdate("other", other.update());
      fleet.actions.add("since", other.statusChangedAtNanos());
    }
    fleet.actions.add(
        "there", String.join(" ", protocol.presentNames().stream().limit(200).toList()));
    String queriedName = "m" + fleet.random.nextInt(fleet.scenario.memberSlots + 1);
    long foundInstanceId = protocol.find(queriedName).map(MemberUpdate::instanceId).orElse(-1L);
    fleet.actions.add("find", queriedName, foundInstanceId);
    fleet.actions.add("standing", protocol.statusOf(queriedName).orElse(null));
    if (fleet.withProbability(0.1)) {
      fleet.actions.add("serial", protocol.nextSequenceNumber());
    }
  }

  private void addUpdate(String action, MemberUpdate update) {
    fleet.actions.add(
        action,
        update.name(),
        update.address(),
        update.incarnation(),
        update.instanceId(),
        update.status(),
        update.reporter());
  }

  @Override
  public void send(String receiverAddress, GossipMessage message) {
    RecordedActions actions = fleet.actions;
    actions.count("sent " + message.kind());
    if (message.kind() == GossipMessage.Kind.SYNC && message.subject() != null) {
      actions.count("later page requested");
    }
    if (message.hasMore()) {
      actions.count("page with more sent");
    }
    actions.add(
        "send",
        index,
        receiverAddress,
        message.kind(),
        message.recipientInstanceId(),
        message.sequenceNumber(),
        message.probeNumber(),
        message.countedDigest(),
        message.presentDigest(),
        message.subject(),
        message.hasMore(),
        message.fullySynced(),
        message.updates().size());
    addUpdate("from", message.sender());
    message.updates().forEach(update -> addUpdate("rumour", update));
    fleet.transmit(this, receiverAddress, message);
  }

  @Override
  public void memberStatusChanged(String memberName, MemberStatus status) {
    fleet.actions.count("news " + status);
    fleet.actions.add("news", index, memberName, status);
  }

  @Override
  public void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {
    fleet.actions.count("phase " + from);
    fleet.actions.count("phase " + to);
    fleet.actions.add("phase", index, from, to);
  }

  @Override
  public void nameConflictDetected(String conflictAddress) {
    fleet.actions.add("twin", index, conflictAddress);
  }
}
