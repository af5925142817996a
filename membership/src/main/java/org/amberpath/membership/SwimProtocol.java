package org.amberpath.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * The state machine of one gateway's membership in its fleet by the SWIM protocol, and the entry
 * point of this package. {@link #messageReceived} processes a message of another member, and {@link
 * #tick} the passing of time; both send messages and report membership changes to an {@link
 * Output}.
 *
 * <p>Direct and indirect probes ({@link FailureDetector}), suspicion and its refutation by a higher
 * incarnation ({@link SuspicionTimers}, {@link Refutation}), and gossip that is piggybacked on
 * other messages ({@link GossipQueue}) follow SWIM (Das, Gupta, Motivala 2002). Three extensions
 * come from Lifeguard (Dadgar, Phillips, Currey 2017): the local health multiplier ({@link
 * LocalHealth}), suspicions that are shortened as other members confirm them, and messages to a
 * suspected member that carry its suspicion first. Anti-entropy ({@link AntiEntropySync}) delivers
 * updates that gossip did not.
 *
 * <p>{@link #quotaShare} is this gateway's share of fleet-wide limits; docs/design/fleet-view.md
 * has the proof that the shares of all running gateways never sum to more than one.
 *
 * <p>Performs no I/O, reads no clock and starts no threads; not thread-safe. Times are nanoseconds
 * of this gateway's own clock, which must not go back. Memory and message rates are bounded by the
 * components. No method throws for any message that {@code DatagramCodec} accepts.
 */
public final class SwimProtocol {
  /** The phase of this gateway's view of the fleet. */
  public enum Phase {
    /** No other member is counted yet. */
    JOINING,
    /**
     * No other member is counted, and more than eight probe intervals have passed since the start:
     * this gateway serves as if it had no fleet.
     */
    ALONE,
    /**
     * A status changed within the last four probe intervals, a member is suspected, or no complete
     * member list has been received yet.
     */
    SETTLING,
    /**
     * A complete member list has been received, no member is suspected, and no status has changed
     * for four probe intervals.
     */
    SETTLED,
    /** At least half of the counted members are not present. */
    CUT_OFF,
    /** This gateway is leaving its fleet. */
    LEAVING
  }

  /**
   * Receives messages to send and change events; called from the methods of {@link SwimProtocol}.
   */
  public interface Output {
    /** Sends a message to an address; delivery is not guaranteed. */
    void send(String address, GossipMessage message);

    /** Reports the new status of another member. */
    void memberStatusChanged(String name, MemberStatus status);

    /** Reports a phase change of this gateway's view. */
    void phaseChanged(Phase from, Phase to);

    /** Reports another process that uses this gateway's name; called once per such process. */
    void nameConflictDetected(String address);
  }

  /**
   * The current state of another member.
   *
   * @param update the update that takes precedence over all others about the member
   * @param statusChangedAtNanos when the member's status last changed, in nanoseconds of this
   *     gateway's clock
   */
  public record ObservedMember(MemberUpdate update, long statusChangedAtNanos) {}

  /** After more than this many probe intervals without a tick, this process was paused. */
  private static final int PAUSE_PERIODS = 3;

  /** The most members that are sent the leave directly; the others receive it by gossip. */
  private static final int MAX_LEAVE_MESSAGES = 6;

  private final SwimTimings timings;
  private final SplittableRandom random;
  private final LocalMember local;
  private final MembershipTable table;
  private final MessageSender sender;
  private final LocalHealth localHealth = new LocalHealth();
  private final SuspicionTimers suspicions;
  private final UpdateMerger merger;
  private final ProbeOrder probeOrder;
  private final FailureDetector detector;
  private final AntiEntropySync antiEntropy;
  private final PartitionHealer healer;
  private final MessageDispatcher dispatcher;
  private final QuotaAdmission quota;
  private final PhaseTracker phases;
  private long lastTickNanos;

  /**
   * Creates a protocol instance that knows no other members.
   *
   * @param timings the configured bounds and times, which must be the same in the complete fleet
   * @param self the update of this process; its incarnation is above the incarnations of earlier
   *     processes with this name, unless the clock went back between their starts
   * @param seeds addresses that are contacted to discover the fleet; the own address among them is
   *     skipped
   * @param seed the seed of the random numbers, which differs between processes
   * @param nowNanos the current time in nanoseconds of this gateway's clock
   * @param output receives messages and change events
   */
  public SwimProtocol(
      SwimTimings timings,
      MemberUpdate self,
      List<String> seeds,
      long seed,
      long nowNanos,
      Output output) {
    this.timings = timings;
    long periodNanos = timings.probeIntervalNanos();
    random = new SplittableRandom(seed);
    local = new LocalMember(self, periodNanos, nowNanos);
    table = new MembershipTable(self.name(), timings);
    sender = new MessageSender(local, table, output);
    suspicions = new SuspicionTimers(table, periodNanos);
    GossipQueue gossip = new GossipQueue(table, local, timings.maxUpdatesPerMessage());
    NameConflictDetector conflicts = new NameConflictDetector(local, output);
    probeOrder = new ProbeOrder(random);
    phases = new PhaseTracker(table, local, output, periodNanos, nowNanos);
    Refutation refutation = new Refutation(local, localHealth, conflicts, gossip, periodNanos);
    merger =
        new UpdateMerger(table, local, suspicions, gossip, refutation, new MergeListener(output));
    SwimContext context = new SwimContext(timings, random, table, local, sender, gossip);
    List<String> otherSeeds =
        seeds.stream().filter(address -> !address.equals(self.address())).toList();
    long firstProbeNanos = nowNanos + random.nextLong(periodNanos);
    detector = new FailureDetector(context, localHealth, probeOrder, merger, firstProbeNanos);
    antiEntropy = new AntiEntropySync(context, otherSeeds, nowNanos);
    healer = new PartitionHealer(context, otherSeeds, nowNanos);
    ResponseRateLimiter responses = new ResponseRateLimiter(periodNanos, nowNanos);
    dispatcher =
        new MessageDispatcher(context, merger, detector, antiEntropy, conflicts, responses);
    quota = new QuotaAdmission(context);
    lastTickNanos = nowNanos;
  }

  private final class MergeListener implements UpdateMerger.Listener {
    private final Output output;

    MergeListener(Output output) {
      this.output = output;
    }

    @Override
    public void memberAdded(MemberEntry entry) {
      probeOrder.add(entry);
    }

    @Override
    public void statusChanged(MemberEntry entry, long nowNanos) {
      phases.membershipChanged(nowNanos);
      output.memberStatusChanged(entry.update.name(), entry.status());
    }
  }

  // ---- Messages.

  /**
   * Processes a message of another member that was verified and that {@link ReplayFilter} accepted.
   */
  public void messageReceived(long nowNanos, GossipMessage message) {
    if (!isLeaving() && dispatcher.receive(message, nowNanos)) {
      quota.update(nowNanos);
    }
  }

  /**
   * Sends a greeting to a sender that does not know this process's instance id or knows an older
   * one. The sender's message is not processed; from the greeting it learns the instance id.
   */
  public void greet(long nowNanos, MemberUpdate to) {
    if (!isLeaving() && !to.name().equals(local.name())) {
      sender.send(to, Kind.NACK, 0, List.of());
    }
  }

  // ---- Time.

  /** Processes all timers; must be called several times per probe interval. */
  public void tick(long nowNanos) {
    long elapsedNanos = nowNanos - lastTickNanos;
    lastTickNanos = nowNanos;
    table.recount(nowNanos);
    if (isLeaving()) {
      return;
    }
    if (elapsedNanos > PAUSE_PERIODS * timings.probeIntervalNanos()) {
      resumeAfterPause(elapsedNanos, nowNanos);
    }
    detector.checkTimeouts(nowNanos);
    suspicions
        .expired(nowNanos)
        .forEach(entry -> merger.declare(entry, MemberStatus.LOST, nowNanos));
    if (table.removeExpiredLeft(nowNanos)) {
      probeOrder.removeStaleEntries(table);
    }
    detector.probeIfDue(nowNanos);
    antiEntropy.syncIfDue(nowNanos);
    healer.healIfDue(nowNanos);
    phases.update(suspicions, nowNanos);
  }

  /**
   * Guards the fleet against false suspicions by a process that was paused: messages that it did
   * not receive during the pause say nothing about their senders, and its member list is outdated.
   */
  private void resumeAfterPause(long pausedNanos, long nowNanos) {
    detector.resetAfterPause();
    antiEntropy.restartAfterPause(nowNanos);
    phases.membershipChanged(nowNanos);
    localHealth.worsenToMaximum();
    suspicions.postpone(pausedNanos);
  }

  // ---- Operators.

  /**
   * Leaves the fleet gracefully: from now on this gateway's quota share is 0. The leave is sent to
   * at most {@value #MAX_LEAVE_MESSAGES} random present members, from which the others receive it
   * by gossip.
   */
  public void leave(long nowNanos) {
    phases.leave();
    local.leave();
    List<MemberEntry> present =
        new ArrayList<>(table.all().stream().filter(MemberEntry::isPresent).toList());
    for (int sent = 0; sent < MAX_LEAVE_MESSAGES && !present.isEmpty(); sent++) {
      MemberEntry receiver = present.remove(random.nextInt(present.size()));
      sender.send(receiver.update, Kind.NACK, 0, List.of());
    }
  }

  /**
   * Declares that a lost member has left, because an operator reported that it will not come back.
   * Only this ends the counting of a lost member and returns its quota share to the others.
   *
   * @return whether the named member was lost
   */
  public boolean forget(long nowNanos, String name) {
    Optional<MemberEntry> lost =
        table.find(name).filter(entry -> entry.status() == MemberStatus.LOST);
    lost.ifPresent(entry -> merger.declare(entry, MemberStatus.LEFT, nowNanos));
    return lost.isPresent();
  }

  // ---- Queries.

  private boolean isLeaving() {
    return phases.current() == Phase.LEAVING;
  }

  /** Returns the phase of this gateway's view of the fleet. */
  public Phase phase() {
    return phases.current();
  }

  /** Returns this gateway's update about itself. */
  public MemberUpdate self() {
    return local.update();
  }

  /**
   * Returns all other members in the table, ordered by name: present members, lost members, and
   * members that left until their entries are removed.
   */
  public List<ObservedMember> otherMembers() {
    return table.all().stream()
        .map(entry -> new ObservedMember(entry.update, entry.statusChangedAtNanos))
        .toList();
  }

  /** Returns the names of all present members including this gateway, sorted. */
  public List<String> presentNames() {
    return table.presentNames();
  }

  /** Returns the current update about another member if that member is present. */
  public Optional<MemberUpdate> find(String name) {
    return table.find(name).filter(MemberEntry::isPresent).map(entry -> entry.update);
  }

  /** Allocates a sequence number for a datagram that is not a message of this protocol. */
  public long nextSequenceNumber() {
    return sender.nextSequenceNumber();
  }

  /** Returns the number of present members including this gateway. */
  public int presentCount() {
    return table.presentMembers();
  }

  /** Returns the status of the named member; empty if it is unknown. */
  public Optional<MemberStatus> statusOf(String name) {
    return name.equals(local.name())
        ? Optional.of(MemberStatus.ALIVE)
        : table.find(name).map(MemberEntry::status);
  }

  /**
   * Returns the number by which fleet-wide limits are divided. It rises when a new member becomes
   * known and falls some time after a member left, but not when a member is lost; it is never below
   * the configured maximum of members.
   */
  public int quotaDivisor() {
    return quota.divisor();
  }

  /**
   * Returns this gateway's share of fleet-wide limits, 0 to 1. The share is 0 while the gateway
   * leaves, and until it has received a complete member list or is {@link Phase#ALONE}. While more
   * members are counted than the configured maximum, a gateway that was not admitted before has the
   * share 0 until every counted member reports the same counted names.
   */
  public double quotaShare() {
    return quota.share(phases.current());
  }
}
