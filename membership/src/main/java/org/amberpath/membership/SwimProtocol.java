package org.amberpath.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * One gateway's view of its fleet by the SWIM protocol: told messages and the time, it answers with
 * messages and with changes of who is a member. The entry to this package: {@link #messageReceived}
 * takes a message and {@link #tick} the passing of time.
 *
 * <p>Direct and indirect probes ({@link FailureDetector}), suspicion and its refutation by a higher
 * incarnation ({@link SuspicionTimers}, {@link Refutation}), and gossip that rides on other
 * messages ({@link GossipQueue}) are those of SWIM (Das, Gupta, Motivala 2002). From Lifeguard
 * (Dadgar, Phillips, Currey 2017) come a member's doubt in its own health ({@link LocalHealth}),
 * suspicions that shorten as others confirm them, and that a suspected member hears of it first.
 * Anti-entropy ({@link AntiEntropySync}) mends what gossip missed.
 *
 * <p>{@link #quotaShare} is this gateway's part of limits that the whole fleet shares;
 * docs/design/fleet-view.md has the proof that the shares of all running gateways never sum to more
 * than one.
 *
 * <p>Pure: no I/O, no clock, no threads of its own; for one thread. Times are nanoseconds of this
 * gateway's own clock, which must not go back. Bounds are those of the parts; no method throws for
 * any message that {@code DatagramCodec} lets through.
 */
public final class SwimProtocol {
  /** The view as a whole. */
  public enum Phase {
    /** Nobody has answered yet. */
    JOINING,
    /** Nobody answered for eight periods: this gateway serves as if it had no fleet. */
    ALONE,
    /** Something has changed or is suspected, or no whole list was heard yet. */
    SETTLING,
    /** Nothing has changed for four periods. */
    SETTLED,
    /** Half of the counted members, or more, are not present. */
    CUT_OFF,
    /** This gateway was told to stop. */
    LEAVING
  }

  /** Where messages and changes go; called within the methods of {@link SwimProtocol}. */
  public interface Output {
    /** Sends a message; it may be lost. */
    void send(String address, GossipMessage message);

    /** Another member has a new status. */
    void memberStatusChanged(String name, MemberStatus status);

    /** The view has entered another phase. */
    void phaseChanged(Phase from, Phase to);

    /** Another process uses this gateway's name: called once for each such process. */
    void nameConflictDetected(String address);
  }

  /**
   * What is held of another member.
   *
   * @param update the update that takes precedence over all others about it
   * @param sinceNanos when its status changed last, in nanoseconds
   */
  public record ObservedMember(MemberUpdate update, long sinceNanos) {}

  /** After so many periods without a tick this process stood still. */
  private static final int STANDSTILL_PERIODS = 3;

  /** So many members are sent the leave directly; gossip brings it to the others. */
  private static final int LEAVE_MESSAGES = 6;

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
  private long tickedAtNanos;

  /**
   * A view that knows of nobody.
   *
   * @param timings what the operators set; the same in the whole fleet
   * @param self this process: its incarnation is above that of its starts before, as far as its
   *     clock can tell
   * @param seeds addresses of which any may answer; its own is passed over
   * @param seed of the random numbers; another in each process
   * @param nowNanos in nanoseconds
   * @param out where messages and changes go
   */
  public SwimProtocol(
      SwimTimings timings,
      MemberUpdate self,
      List<String> seeds,
      long seed,
      long nowNanos,
      Output out) {
    this.timings = timings;
    long periodNanos = timings.probeIntervalNanos();
    random = new SplittableRandom(seed);
    local = new LocalMember(self, periodNanos, nowNanos);
    table = new MembershipTable(self.name(), timings);
    sender = new MessageSender(local, table, out);
    suspicions = new SuspicionTimers(table, periodNanos);
    GossipQueue gossip = new GossipQueue(table, local, timings.maxUpdatesPerMessage());
    NameConflictDetector conflicts = new NameConflictDetector(local, out);
    probeOrder = new ProbeOrder(random);
    phases = new PhaseTracker(table, local, out, periodNanos, nowNanos);
    Refutation refutation = new Refutation(local, localHealth, conflicts, gossip, periodNanos);
    merger = new UpdateMerger(table, local, suspicions, gossip, refutation, new MergeListener(out));
    SwimContext context = new SwimContext(timings, random, table, local, sender, gossip);
    List<String> otherSeeds = seeds.stream().filter(one -> !one.equals(self.address())).toList();
    long firstProbeNanos = nowNanos + random.nextLong(periodNanos);
    detector = new FailureDetector(context, localHealth, probeOrder, merger, firstProbeNanos);
    antiEntropy = new AntiEntropySync(context, otherSeeds, nowNanos);
    healer = new PartitionHealer(context, otherSeeds, nowNanos);
    ResponseRateLimiter responses = new ResponseRateLimiter(periodNanos, nowNanos);
    dispatcher =
        new MessageDispatcher(context, merger, detector, antiEntropy, conflicts, responses);
    quota = new QuotaAdmission(context);
    tickedAtNanos = nowNanos;
  }

  private final class MergeListener implements UpdateMerger.Listener {
    private final Output out;

    MergeListener(Output out) {
      this.out = out;
    }

    @Override
    public void memberAdded(MemberEntry entry) {
      probeOrder.add(entry);
    }

    @Override
    public void statusChanged(MemberEntry entry, long nowNanos) {
      phases.membershipChanged(nowNanos);
      out.memberStatusChanged(entry.update.name(), entry.status());
    }
  }

  // ---- Messages.

  /** Takes another member's message, whose sender is proved and which is new. */
  public void messageReceived(long nowNanos, GossipMessage message) {
    if (!isLeaving() && dispatcher.receive(message, nowNanos)) {
      quota.update(nowNanos);
    }
  }

  /**
   * Answers a sender that doesn't know this process's instance id, or knows an older one: nothing
   * that it said counts yet, and from the answer it learns the instance id.
   */
  public void greet(long nowNanos, MemberUpdate to) {
    if (!isLeaving() && !to.name().equals(local.name())) {
      sender.send(to, Kind.NACK, 0, List.of());
    }
  }

  // ---- Time.

  /** Tells the time; to be called several times a period. */
  public void tick(long nowNanos) {
    long passedNanos = nowNanos - tickedAtNanos;
    tickedAtNanos = nowNanos;
    table.recount(nowNanos);
    if (isLeaving()) {
      return;
    }
    if (passedNanos > STANDSTILL_PERIODS * timings.probeIntervalNanos()) {
      stoodStill(passedNanos, nowNanos);
    }
    detector.checkTimeouts(nowNanos);
    suspicions
        .expired(nowNanos)
        .forEach(entry -> merger.declare(entry, MemberStatus.LOST, nowNanos));
    if (table.removeLeft(nowNanos)) {
      probeOrder.retain(table);
    }
    detector.probeIfDue(nowNanos);
    antiEntropy.syncIfDue(nowNanos);
    healer.tryIfDue(nowNanos);
    phases.update(suspicions, nowNanos);
  }

  /**
   * Guards the fleet against a process that stood still: what it did not hear proves nothing, and
   * its own view is old.
   */
  private void stoodStill(long passedNanos, long nowNanos) {
    detector.reset();
    antiEntropy.restart(nowNanos);
    phases.membershipChanged(nowNanos);
    localHealth.worsenToMaximum();
    suspicions.postpone(passedNanos);
  }

  // ---- Operators.

  /**
   * Leaves in order: from now on this gateway has no share. It is sent to some members; the others
   * hear it from them.
   */
  public void leave(long nowNanos) {
    phases.leave();
    local.leave();
    List<MemberEntry> present =
        new ArrayList<>(table.all().stream().filter(MemberEntry::isPresent).toList());
    for (int sent = 0; sent < LEAVE_MESSAGES && !present.isEmpty(); sent++) {
      MemberEntry receiver = present.remove(random.nextInt(present.size()));
      sender.send(receiver.update, Kind.NACK, 0, List.of());
    }
  }

  /**
   * An operator's word that a lost member is not coming back: only so does its share fall to the
   * others.
   *
   * @return whether the member was lost
   */
  public boolean forget(long nowNanos, String name) {
    Optional<MemberEntry> lost =
        table.find(name).filter(entry -> entry.status() == MemberStatus.LOST);
    lost.ifPresent(entry -> merger.declare(entry, MemberStatus.LEFT, nowNanos));
    return lost.isPresent();
  }

  // ---- What is known.

  private boolean isLeaving() {
    return phases.current() == Phase.LEAVING;
  }

  /** The phase of the view as a whole. */
  public Phase phase() {
    return phases.current();
  }

  /** What this gateway says of itself. */
  public MemberUpdate self() {
    return local.update();
  }

  /**
   * All other known members, ordered by name: those that are present, those that are lost, and for
   * a while those that left.
   */
  public List<ObservedMember> otherMembers() {
    return table.all().stream()
        .map(entry -> new ObservedMember(entry.update, entry.changedAtNanos))
        .toList();
  }

  /** The names of all that are present as far as this gateway knows, itself among them. */
  public List<String> presentNames() {
    return table.presentNames();
  }

  /** What is held of another member that is present. */
  public Optional<MemberUpdate> find(String name) {
    return table.find(name).filter(MemberEntry::isPresent).map(entry -> entry.update);
  }

  /** The next sequence number, for a datagram that is sent beside this protocol's own messages. */
  public long nextSequenceNumber() {
    return sender.nextSequenceNumber();
  }

  /** How many members are present, this gateway among them. */
  public int presentCount() {
    return table.presentMembers();
  }

  /** The status of a member, by its name. */
  public Optional<MemberStatus> statusOf(String name) {
    return name.equals(local.name())
        ? Optional.of(MemberStatus.ALIVE)
        : table.find(name).map(MemberEntry::status);
  }

  /**
   * By how many shared limits are divided: rises when a name becomes known, falls when one left,
   * never by a loss.
   */
  public int countedMembers() {
    return quota.divisor();
  }

  /**
   * This gateway's part of what all share, 0 to 1. A gateway beyond the allowed number has none
   * until all count it.
   */
  public double quotaShare() {
    return quota.share(phases.current());
  }
}
