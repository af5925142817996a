package org.amberpath.membership;

import java.util.List;

/**
 * A member of a {@link SeededFleet}: at most one process at a time, which runs the protocol under
 * test. Only this class calls the protocol.
 */
final class SeededMember implements SwimProtocol.Output {
  private static final long MS = SeededFleet.MS;
  private static final double BYPASS_PROBABILITY = 0.15;

  final int index;
  final String name;
  final String address;
  private final SeededFleet fleet;
  private SwimProtocol protocol;
  private ReplayFilter filter;
  private int process;
  private long clockOffset;
  private long instanceId;
  private long pausedUntil;
  private long incarnation;
  private boolean leaving;
  private int observed;

  SeededMember(SeededFleet fleet, int index, String name, String address) {
    this.fleet = fleet;
    this.index = index;
    this.name = name;
    this.address = address;
  }

  boolean runs() {
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
    process++;
    leaving = false;
    pausedUntil = 0;
    clockOffset = (fleet.random.nextInt(10_001) - 5000) * MS;
    instanceId = fleet.random.nextLong();
    List<String> seeds =
        process > 1 && fleet.withProbability(0.1) ? List.of() : List.of("a0", "a1", "a2", address);
    filter = new ReplayFilter(instanceId, fleet.timings.probeIntervalNanos(), clock());
    incarnation = clock() / SeededFleet.SECOND;
    protocol =
        new SwimProtocol(
            fleet.timings,
            new MemberUpdate(name, address, incarnation, instanceId, MemberStatus.ALIVE, name),
            seeds,
            fleet.random.nextLong(),
            clock(),
            this);
    fleet.actions.add("start", index, clock(), instanceId);
    observe();
    int started = process;
    fleet.plan(fleet.now() + fleet.random.nextInt(100) * MS, () -> tick(started));
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
    pausedUntil = fleet.now() + milliseconds * MS;
  }

  void leave() {
    if (protocol != null && !leaving) {
      leaving = true;
      fleet.actions.add("leave", index);
      protocol.leave(clock());
      observe();
      int left = process;
      fleet.plan(fleet.now() + fleet.random.nextInt(1500) * MS, () -> end(left));
    }
  }

  private void end(int left) {
    if (process == left) {
      protocol = null;
    }
  }

  void forget(String other) {
    if (protocol != null) {
      boolean forgotten = protocol.forget(clock(), other);
      fleet.actions.add(forgotten ? "forgotten" : "not forgotten", index, other);
      observe();
    }
  }

  /** Returns the names of the members that this member considers lost. */
  List<String> lost() {
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
    if (pausedUntil > fleet.now()) {
      // The datagram waits in the socket's receive buffer.
      fleet.plan(pausedUntil, () -> deliver(message));
      return;
    }
    if (!filter.tryExamine(clock())) {
      fleet.actions.add("unread", index);
      return;
    }
    ReplayFilter.Verdict verdict = filter.check(clock(), message);
    fleet.actions.count("verdict " + verdict);
    fleet.actions.add("verdict", index, verdict);
    boolean bypassed = fleet.withProbability(BYPASS_PROBABILITY);
    if (verdict == ReplayFilter.Verdict.TAKEN || bypassed) {
      fleet.actions.count("received " + message.kind());
      protocol.messageReceived(clock(), message);
    } else if (verdict == ReplayFilter.Verdict.GREETED) {
      protocol.greet(clock(), message.sender());
    }
    observe();
  }

  private long clock() {
    return fleet.now() + clockOffset;
  }

  private void tick(int started) {
    if (started != process || protocol == null) {
      return;
    }
    if (pausedUntil <= fleet.now()) {
      protocol.tick(clock());
      observe();
    }
    long periodMs = fleet.timings.probeIntervalNanos() / MS;
    long delayMs =
        fleet.withProbability(0.6)
            ? periodMs / 5
            : fleet.withProbability(0.02)
                ? fleet.random.nextInt((int) (5 * periodMs))
                : 10L * fleet.random.nextInt((int) (periodMs / 20));
    long next = Math.max(fleet.now() + delayMs * MS, pausedUntil);
    fleet.plan(next, () -> tick(started));
  }

  // ---- Outputs of the protocol.

  /** Records the protocol's observable state after an input. */
  private void observe() {
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
        protocol.countedMembers(),
        protocol.quotaShare());
    if (protocol.quotaShare() > 0 && protocol.countedMembers() > fleet.setting.maxMembers) {
      fleet.actions.count("admitted beyond the allowed number");
    }
    if (++observed % 50 == 0) {
      observeOthers();
    }
  }

  private void observeOthers() {
    for (SwimProtocol.ObservedMember other : protocol.otherMembers()) {
      add("other", other.update());
      fleet.actions.add("since", other.sinceNanos());
    }
    fleet.actions.add(
        "there", String.join(" ", protocol.presentNames().stream().limit(200).toList()));
    String asked = "m" + fleet.random.nextInt(fleet.setting.places + 1);
    long found = protocol.find(asked).map(MemberUpdate::instanceId).orElse(-1L);
    fleet.actions.add("find", asked, found);
    fleet.actions.add("standing", protocol.statusOf(asked).orElse(null));
    if (fleet.withProbability(0.1)) {
      fleet.actions.add("serial", protocol.nextSequenceNumber());
    }
  }

  private void add(String action, MemberUpdate update) {
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
  public void send(String to, GossipMessage message) {
    RecordedActions actions = fleet.actions;
    actions.count("sent " + message.kind());
    if (message.kind() == GossipMessage.Kind.SYNC && message.subject() != null) {
      actions.count("list asked on");
    }
    if (message.hasMore()) {
      actions.count("list goes on");
    }
    actions.add(
        "send",
        index,
        to,
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
    add("from", message.sender());
    message.updates().forEach(update -> add("rumour", update));
    fleet.carry(this, to, message);
  }

  @Override
  public void memberStatusChanged(String who, MemberStatus status) {
    fleet.actions.count("news " + status);
    fleet.actions.add("news", index, who, status);
  }

  @Override
  public void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {
    fleet.actions.count("phase " + from);
    fleet.actions.count("phase " + to);
    fleet.actions.add("phase", index, from, to);
  }

  @Override
  public void nameConflictDetected(String at) {
    fleet.actions.add("twin", index, at);
  }
}
