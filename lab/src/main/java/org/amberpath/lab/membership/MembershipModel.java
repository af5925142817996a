package org.amberpath.lab.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.amberpath.lab.VirtualScheduler;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.ReplayFilter;
import org.amberpath.membership.SwimProtocol;
import org.amberpath.membership.SwimTimings;

/**
 * One run of the fleet's views on a virtual clock: datagrams lost, late and doubled, links cut one
 * way and both, partitions, processes killed, stopped, ended, restarted with nothing, old datagrams
 * sent again by a stranger, and in one run of six a gateway that says of others that they are gone.
 * After each step the shares of all that run sum to one at most; once it has been calm for a while,
 * each view holds those that run and nobody else.
 */
final class MembershipModel {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final long EPOCH_NANOS = 1_700_000_000L * NANOS_PER_SECOND;
  private static final long WARM_UP_NANOS = 15 * NANOS_PER_SECOND;
  private static final long FAULT_PERIOD_NANOS = 40 * NANOS_PER_SECOND;
  private static final long CALM_PERIOD_NANOS = 30 * NANOS_PER_SECOND;
  private static final long HEALED_AFTER_NANOS = 15 * NANOS_PER_SECOND;
  private static final long TICK_NANOS = 100 * NANOS_PER_MILLI;
  private static final int MIN_MEMBERS = 3;
  private static final int MAX_MEMBERS = 30;
  private static final int MAX_DATAGRAMS_PER_SECOND = 200;
  private static final int SEED_MEMBERS = 3;
  private static final int MAX_RECORDED = 300;
  private static final int RECORDED_ONE_IN = 20;
  private static final int REPLAYED_MESSAGES = 60;
  private static final int FALSE_UPDATE_ONE_IN = 4;
  private static final double ROUNDING = 1e-9;

  /** A bar that was missed. */
  static final class InvariantViolation extends RuntimeException {
    InvariantViolation(String message) {
      super(message);
    }
  }

  /** One gateway's place: the process that runs there, if one does. */
  private final class SimulatedMember implements SwimProtocol.Output {
    final int index;
    final String name;
    final String address;
    SwimProtocol protocol;
    private ReplayFilter replayFilter;

    /** Which process of this place: datagrams and ticks of an older one go nowhere. */
    int processGeneration;

    long incarnation;
    long pausedUntilNanos;
    long currentSecond;
    long sentInSecond;
    boolean left;

    SimulatedMember(int index) {
      this.index = index;
      name = "g" + index;
      address = "a" + index;
    }

    void restart() {
      processGeneration++;
      left = false;
      // Its clock is all that a process remembers of the starts before it, and the clock may have
      // gone back.
      incarnation =
          Math.max(
              1, (scheduler.nowNanos() - EPOCH_NANOS) / NANOS_PER_SECOND + random.nextInt(-5, 5));
      long instanceId = random.nextLong();
      replayFilter =
          new ReplayFilter(instanceId, timings.probeIntervalNanos(), scheduler.nowNanos());
      protocol =
          new SwimProtocol(
              timings,
              new MemberUpdate(name, address, incarnation, instanceId, MemberStatus.ALIVE, name),
              List.of("a0", "a1", "a2"),
              random.nextLong(),
              scheduler.nowNanos(),
              this);
      int generation = processGeneration;
      scheduler.schedule(
          scheduler.nowNanos() + random.nextLong(TICK_NANOS), () -> tick(generation));
    }

    private void tick(int generation) {
      if (generation == processGeneration && protocol != null) {
        if (pausedUntilNanos <= scheduler.nowNanos()) {
          protocol.tick(scheduler.nowNanos());
        }
        scheduler.schedule(
            Math.max(scheduler.nowNanos() + TICK_NANOS, pausedUntilNanos), () -> tick(generation));
      }
    }

    @Override
    public void send(String address, GossipMessage message) {
      GossipMessage sent =
          this == faultyMember && calmSinceNanos == 0 ? withFalseUpdate(message) : message;
      long second = scheduler.nowNanos() / NANOS_PER_SECOND;
      sentInSecond = second == currentSecond ? sentInSecond + 1 : 1;
      currentSecond = second;
      datagramCount++;
      maxDatagramsPerSecond = Math.max(maxDatagramsPerSecond, sentInSecond);
      if (sentInSecond > MAX_DATAGRAMS_PER_SECOND) {
        throw new InvariantViolation(name + " sent " + sentInSecond + " datagrams in a second");
      }
      if (sent.updates().size() > timings.maxUpdatesPerMessage()) {
        throw new InvariantViolation(name + " sent " + sent.updates().size() + " rumours at once");
      }
      SimulatedMember recipient = members.get(Integer.parseInt(address.substring(1)));
      if (recorded.size() < MAX_RECORDED || random.nextInt(RECORDED_ONE_IN) == 0) {
        recorded.add(sent);
        if (recorded.size() > MAX_RECORDED) {
          recorded.remove(random.nextInt(recorded.size()));
        }
      }
      if (cutLinks[index][recipient.index] || random.nextDouble() < lossRate) {
        return;
      }
      int copies = random.nextDouble() < duplicationRate ? 2 : 1;
      for (int copy = 0; copy < copies; copy++) {
        int generation = recipient.processGeneration;
        scheduler.schedule(
            scheduler.nowNanos() + NANOS_PER_MILLI / 5 + random.nextLong(maxDelayNanos),
            () -> recipient.receive(generation, sent));
      }
    }

    private void receive(int generation, GossipMessage sent) {
      if (generation != processGeneration || protocol == null) {
        return;
      }
      if (pausedUntilNanos > scheduler.nowNanos()) { // It waits in the socket.
        scheduler.schedule(pausedUntilNanos, () -> receive(generation, sent));
      } else if (replayFilter.tryExamine(scheduler.nowNanos())) {
        switch (replayFilter.check(scheduler.nowNanos(), sent)) {
          case TAKEN -> protocol.messageReceived(scheduler.nowNanos(), sent);
          case GREETED -> protocol.greet(scheduler.nowNanos(), sent.sender());
          default -> rejectedDatagrams++;
        }
      }
    }

    /** Says of another, whom it knows to run, that it is gone. */
    private GossipMessage withFalseUpdate(GossipMessage message) {
      List<SwimProtocol.ObservedMember> observed = protocol.otherMembers();
      if (observed.isEmpty()
          || random.nextInt(FALSE_UPDATE_ONE_IN) > 0
          || message.updates().size() == timings.maxUpdatesPerMessage()) {
        return message;
      }
      MemberUpdate generation = observed.get(random.nextInt(observed.size())).update();
      List<MemberUpdate> updates = new ArrayList<>(message.updates());
      updates.add(
          new MemberUpdate(
              generation.name(),
              generation.address(),
              generation.incarnation() + random.nextInt(2),
              generation.instanceId(),
              random.nextBoolean() ? MemberStatus.LOST : MemberStatus.LEFT,
              name));
      falseUpdates++;
      return new GossipMessage(
          message.kind(),
          message.sender(),
          message.recipientInstanceId(),
          message.sequenceNumber(),
          message.probeNumber(),
          message.countedDigest(),
          message.presentDigest(),
          message.subject(),
          message.hasMore(),
          message.fullySynced(),
          updates);
    }

    @Override
    public void memberStatusChanged(String memberName, MemberStatus status) {
      trace.accept(name + ": " + memberName + " " + status);
      falseLossCount += status == MemberStatus.LOST && isRunning(memberName) ? 1 : 0;
      if (calmSinceNanos > 0
          && scheduler.nowNanos() - calmSinceNanos > HEALED_AFTER_NANOS
          && status == MemberStatus.LOST
          && isRunning(memberName)) {
        throw new InvariantViolation(
            name + " holds " + memberName + " for lost, which runs and can be reached");
      }
    }

    private boolean isRunning(String memberName) {
      SimulatedMember member = members.get(Integer.parseInt(memberName.substring(1)));
      return member.protocol != null && !member.left;
    }

    @Override
    public void phaseChanged(SwimProtocol.Phase before, SwimProtocol.Phase after) {
      trace.accept(name + ": " + before + " -> " + after);
    }

    @Override
    public void nameConflictDetected(String address) {
      throw new InvariantViolation(name + " was told of a twin at " + address);
    }
  }

  private final SplittableRandom random;
  private final VirtualScheduler scheduler = new VirtualScheduler(EPOCH_NANOS);
  private final Consumer<String> trace;
  private final List<SimulatedMember> members = new ArrayList<>();
  private final boolean[][] cutLinks;
  private final SwimTimings timings;
  private final int firstMembers;

  /** What a stranger on the network kept of all that went by, to send it again. */
  private final List<GossipMessage> recorded = new ArrayList<>();

  private SimulatedMember faultyMember;
  private double lossRate;
  private double duplicationRate;
  private boolean beyondExpectedSize;
  private long maxDelayNanos = 2 * NANOS_PER_MILLI;
  private long calmSinceNanos;
  private long datagramCount;
  private long maxDatagramsPerSecond;
  private long falseLossCount;
  private long faultCount;
  private long steps;
  private long rejectedDatagrams;
  private long falseUpdates;

  MembershipModel(long seed, Consumer<String> trace) {
    random = new SplittableRandom(seed);
    this.trace =
        line ->
            trace.accept((scheduler.nowNanos() - EPOCH_NANOS) / NANOS_PER_MILLI + " ms: " + line);
    int memberCount = MIN_MEMBERS + random.nextInt(MAX_MEMBERS - MIN_MEMBERS + 1);
    // In one run of three, more come than the operators told, once those before them have settled.
    boolean grows = random.nextInt(3) == 0;
    firstMembers =
        grows ? Math.max(2, memberCount - 1 - random.nextInt(memberCount / 2)) : memberCount;
    timings = SwimTimings.defaults(grows ? firstMembers : memberCount + random.nextInt(3));
    cutLinks = new boolean[memberCount][memberCount];
    for (int index = 0; index < memberCount; index++) {
      members.add(new SimulatedMember(index));
    }
    faultyMember = random.nextInt(6) == 0 ? members.get(random.nextInt(memberCount)) : null;
  }

  Map<String, Long> run() {
    for (int index = 0; index < firstMembers; index++) {
      SimulatedMember member = members.get(index);
      scheduler.schedule(EPOCH_NANOS + random.nextLong(2 * NANOS_PER_SECOND), member::restart);
    }
    scheduler.schedule(EPOCH_NANOS + WARM_UP_NANOS, this::injectFault);
    long faultsUntilNanos = EPOCH_NANOS + WARM_UP_NANOS + FAULT_PERIOD_NANOS;
    scheduler.schedule(faultsUntilNanos, this::endFaults);
    while (scheduler.runNext(faultsUntilNanos + CALM_PERIOD_NANOS)) {
      steps++;
      checkInvariants();
    }
    for (SimulatedMember member : members) {
      if (member.protocol != null && !member.protocol.presentNames().equals(runningNames())) {
        throw new InvariantViolation(
            "calm, and "
                + member.name
                + " holds "
                + member.protocol.presentNames()
                + " of "
                + runningNames());
      }
      if (member.protocol != null
          && member.protocol.phase() != SwimProtocol.Phase.SETTLED
          && runningNames().size() * 2 > members.size()
          && member.protocol.countedMembers() < 2 * runningNames().size()) {
        throw new InvariantViolation("calm, and " + member.name + " is " + member.protocol.phase());
      }
    }
    return Map.of(
        "steps",
        steps,
        "datagrams",
        datagramCount,
        "most_in_a_second",
        maxDatagramsPerSecond,
        "losses_of_running",
        falseLossCount,
        "faults",
        faultCount,
        "turned_away",
        rejectedDatagrams,
        "lies",
        falseUpdates);
  }

  private List<String> runningNames() {
    return members.stream()
        .filter(member -> member.protocol != null && !member.left)
        .map(member -> member.name)
        .sorted()
        .toList();
  }

  private void checkInvariants() {
    double shareSum = 0;
    for (SimulatedMember member : members) {
      // One beyond the told number that has reached nobody serves as before: what is promised ends
      // there.
      shareSum +=
          member.protocol == null
                  || (beyondExpectedSize && member.protocol.phase() == SwimProtocol.Phase.ALONE)
              ? 0
              : member.protocol.quotaShare();
    }
    if (shareSum > 1 + ROUNDING) {
      throw new InvariantViolation(
          "shares sum to "
              + shareSum
              + ": "
              + members.stream()
                  .filter(member -> member.protocol != null)
                  .map(
                      member ->
                          member.name
                              + " "
                              + member.protocol.phase()
                              + " of "
                              + member.protocol.countedMembers()
                              + ": "
                              + member.protocol.quotaShare())
                  .toList());
    }
  }

  private void endFaults() {
    calmSinceNanos = scheduler.nowNanos();
    lossRate = duplicationRate = 0;
    maxDelayNanos = 2 * NANOS_PER_MILLI;
    for (boolean[] row : cutLinks) {
      java.util.Arrays.fill(row, false);
    }
    trace.accept("calm");
    if (members.stream().limit(SEED_MEMBERS).allMatch(member -> member.protocol == null)) {
      members.get(0).pausedUntilNanos = 0;
      members.get(0).restart(); // Where all seeds are down, nobody can be found by them.
    }
  }

  private void injectFault() {
    if (calmSinceNanos > 0) {
      return;
    }
    faultCount++;
    beyondExpectedSize |=
        members.stream().skip(firstMembers).anyMatch(other -> other.processGeneration > 0);
    SimulatedMember member = members.get(random.nextInt(members.size()));
    boolean beyondFirstMembers = member.index >= firstMembers && member.processGeneration == 0;
    switch (random.nextInt(10)) {
      case 0, 1 -> {
        if (member.protocol != null && runningNames().size() > 1) {
          trace.accept(member.name + " is killed");
          member.protocol = null;
        }
      }
      case 2, 3 -> {
        // Beyond the told number a start that remembers nothing must find those before it as one.
        if (member.protocol == null
            && (firstMembers == members.size()
                || (!beyondExpectedSize && !beyondFirstMembers)
                || (beyondFirstMembers && allSettled()))) {
          trace.accept(member.name + " starts");
          member.pausedUntilNanos = 0;
          member.restart();
        }
      }
      case 4 -> {
        if (member.protocol != null && runningNames().size() > 1) {
          trace.accept(member.name + " leaves");
          member.left = true;
          member.protocol.leave(scheduler.nowNanos());
          member.protocol = null;
        }
      }
      case 5 -> {
        member.pausedUntilNanos =
            Math.min(
                scheduler.nowNanos() + random.nextLong(12 * NANOS_PER_SECOND),
                EPOCH_NANOS + WARM_UP_NANOS + FAULT_PERIOD_NANOS);
        trace.accept(member.name + " stands still");
      }
      case 6 -> {
        // Beyond the told number it is promised to those that were admitted before. Who is cut off
        // can't refute a liar.
        if (faultyMember == null
            && (!beyondExpectedSize
                || members.stream()
                    .allMatch(
                        other -> other.protocol == null || other.protocol.quotaShare() > 0))) {
          partition();
        }
      }
      case 7 -> {
        lossRate = random.nextDouble() * 0.3;
        duplicationRate = random.nextDouble() * 0.2;
        maxDelayNanos =
            1 + random.nextLong(random.nextBoolean() ? NANOS_PER_SECOND : 5 * NANOS_PER_MILLI);
        trace.accept(
            "loss " + lossRate + ", delays up to " + maxDelayNanos / NANOS_PER_MILLI + " ms");
      }
      case 8 -> {
        for (int count = 0; count < REPLAYED_MESSAGES && !recorded.isEmpty(); count++) {
          GossipMessage message = recorded.get(random.nextInt(recorded.size()));
          SimulatedMember target = members.get(random.nextInt(members.size()));
          int process = target.processGeneration;
          scheduler.schedule(
              scheduler.nowNanos() + random.nextLong(NANOS_PER_SECOND),
              () -> target.receive(process, message));
        }
        trace.accept("old datagrams are sent again");
      }
      default -> {
        int peer = random.nextInt(members.size());
        cutLinks[member.index][peer] = true;
        trace.accept("from " + member.name + " to g" + peer + " nothing comes through");
        scheduler.schedule(
            scheduler.nowNanos() + random.nextLong(10 * NANOS_PER_SECOND),
            () -> cutLinks[member.index][peer] = false);
      }
    }
    // Two faults in one moment among them.
    scheduler.schedule(
        scheduler.nowNanos() + (random.nextInt(4) == 0 ? 0 : random.nextLong(3 * NANOS_PER_SECOND)),
        this::injectFault);
  }

  /** Whether a gateway beyond the told number may come: those before it are one fleet. */
  private boolean allSettled() {
    return members.stream()
        .allMatch(
            member ->
                member.protocol == null || member.protocol.phase() == SwimProtocol.Phase.SETTLED);
  }

  private void partition() {
    boolean[] side = new boolean[members.size()];
    for (int member = 0; member < side.length; member++) {
      side[member] = random.nextBoolean();
    }
    trace.accept("a partition");
    setPartition(side, true);
    scheduler.schedule(
        scheduler.nowNanos() + random.nextLong(15 * NANOS_PER_SECOND),
        () -> setPartition(side, false));
  }

  private void setPartition(boolean[] side, boolean cut) {
    for (int from = 0; from < side.length; from++) {
      for (int to = 0; to < side.length; to++) {
        if (side[from] != side[to]) {
          cutLinks[from][to] = cut;
        }
      }
    }
  }
}
