package org.amberpath.lab.leadership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.amberpath.lab.VirtualProcess;
import org.amberpath.lab.VirtualScheduler;
import org.amberpath.lab.leadership.LeadershipModelExperiment.LeadershipVariant;
import org.amberpath.leadership.FencingGuard;
import org.amberpath.leadership.Leadership;
import org.amberpath.leadership.LeaseAcceptor;
import org.amberpath.leadership.LeaseMessage;
import org.amberpath.leadership.LeaseTimings;
import org.amberpath.leadership.QuorumLeadership;
import org.amberpath.leadership.RegistryLeadership;
import org.amberpath.leadership.VoterConfiguration;

/**
 * One run of owners, candidates, voters and recipients on a virtual clock: processes killed,
 * stopped between deciding, looking again, sending and arriving, cut off one way and both, messages
 * lost, doubled and late, wall clocks told wrongly, power lost by all at once, the electorate
 * changed, a registry away and restored from a backup. After each step one process at most holds a
 * task; at each recipient nothing of an older term takes effect after a newer; where terms can't be
 * compared acts of two owners do not lie within one another's time.
 */
final class LeadershipModel {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;
  private static final long EPOCH_NANOS = 1_700_000_000L * NANOS_PER_SECOND;
  private static final long FAULT_PERIOD_NANOS = 60 * NANOS_PER_SECOND;
  private static final long LEASE_NANOS = 3 * NANOS_PER_SECOND;
  private static final long EFFECT_NANOS = 300 * NANOS_PER_MILLI;
  private static final long MAX_DELAY_NANOS = 3 * NANOS_PER_SECOND;

  /** What a message to a cache may take once it is written, and what a new owner waits for. */
  private static final long MAX_SEND_NANOS = 200 * NANOS_PER_MILLI;

  private static final long SETTLE_NANOS = EFFECT_NANOS + MAX_SEND_NANOS + 100 * NANOS_PER_MILLI;

  private static final LeaseTimings TIMINGS = new LeaseTimings(LEASE_NANOS, SETTLE_NANOS, 1000);

  /**
   * By when a task has an owner again: voters wait a lease, tries come within another half, then it
   * settles.
   */
  private static final long MAX_VACANCY_NANOS =
      2 * LEASE_NANOS + LEASE_NANOS / 2 + 2 * NANOS_PER_SECOND + SETTLE_NANOS;

  private static final long CALM_PERIOD_NANOS = MAX_VACANCY_NANOS + 5 * NANOS_PER_SECOND;

  private static final List<String> TASKS = List.of("probe", "sweep");

  /** A bar that was missed. */
  static final class InvariantViolation extends RuntimeException {
    InvariantViolation(String message) {
      super(message);
    }
  }

  private record TaskEffect(
      int gateway, long term, long startNanos, long endNanos, boolean delayedInSending) {}

  private final SplittableRandom random;
  private final VirtualScheduler scheduler = new VirtualScheduler(EPOCH_NANOS);
  private final Consumer<String> trace;
  private final LeadershipVariant variant;
  private final boolean byRegistry;
  private final List<SimulatedGateway> gateways = new ArrayList<>();
  private final boolean[][] cutLinks;
  private final long faultsUntilNanos = EPOCH_NANOS + FAULT_PERIOD_NANOS;

  /**
   * Of each task, what a place that compares no terms was asked for last; the fence that outlives
   * all power losses.
   */
  private final TaskEffect[] lastEffects = new TaskEffect[TASKS.size()];

  private final FencingGuard durableFence = new FencingGuard();
  private final long[] durableTerms = new long[TASKS.size()];
  private final long[] vacantSinceNanos = new long[TASKS.size()];
  private final List<VoterConfiguration> voterStages = new ArrayList<>();
  private int currentStage;
  private int roundsKnown = 1;
  private long steps;
  private long sentEffects;
  private long rejectedEffects;
  private long overlappingEffects;
  private long abandonedEffects;
  private long handovers;
  private long terms;
  private long higherTermsSeen;
  private long longestVacancyNanos;
  private final long[][] registryKeys =
      new long[TASKS.size()][4]; // holder + 1, term, changed, expiry
  private boolean registryUnavailable;

  LeadershipModel(long seed, LeadershipVariant variant, Consumer<String> trace) {
    this.variant = variant;
    random = new SplittableRandom(seed);
    this.trace = line -> trace.accept((scheduler.nowNanos() - EPOCH_NANOS) / 1000 + " us: " + line);
    byRegistry = variant == LeadershipVariant.RIGHT && random.nextInt(3) == 0;
    int gatewayCount = 3 + random.nextInt(7);
    cutLinks = new boolean[gatewayCount][gatewayCount];
    List<String> names =
        IntStream.range(0, gatewayCount).mapToObj(gateway -> "g" + gateway).toList();
    List<String> firstVoters = names.subList(0, gatewayCount >= 5 && random.nextBoolean() ? 5 : 3);
    voterStages.add(new VoterConfiguration(firstVoters, List.of()));
    if (gatewayCount >= 5 && random.nextBoolean()) {
      List<String> nextVoters = names.subList(gatewayCount - 3, gatewayCount);
      voterStages.add(new VoterConfiguration(firstVoters, nextVoters));
      voterStages.add(new VoterConfiguration(nextVoters, List.of()));
    }
    names.forEach(name -> gateways.add(new SimulatedGateway(gateways.size())));
  }

  Map<String, Long> run() {
    gateways.forEach(
        gateway ->
            scheduler.schedule(EPOCH_NANOS + random.nextLong(NANOS_PER_SECOND), gateway::restart));
    scheduler.schedule(EPOCH_NANOS + random.nextLong(2 * NANOS_PER_SECOND), this::injectFault);
    if (voterStages.size() > 1) {
      scheduler.schedule(
          EPOCH_NANOS + 10 * NANOS_PER_SECOND + random.nextLong(20 * NANOS_PER_SECOND),
          this::advanceVoters);
    }
    scheduler.schedule(faultsUntilNanos, this::endFaults);
    while (scheduler.runNext(faultsUntilNanos + CALM_PERIOD_NANOS)) {
      steps++;
      checkInvariants();
    }
    for (int task = 0; task < TASKS.size(); task++) {
      int taskIndex = task;
      long leaders =
          gateways.stream()
              .filter(
                  gateway ->
                      gateway.running
                          && gateway.leaderships.get(taskIndex).isLeader(gateway.localNanos()))
              .count();
      if (leaders != 1 && variant != LeadershipVariant.LOWEST_ALIVE) {
        throw new InvariantViolation(
            "calm, and "
                + TASKS.get(task)
                + " has "
                + leaders
                + " owners: "
                + gateways.stream()
                    .map(
                        gateway ->
                            gateway.running ? gateway.leaderships.get(taskIndex).state() : null)
                    .toList());
      }
    }
    return Map.of(
        "steps",
        steps,
        "acts",
        sentEffects,
        "refused",
        rejectedEffects,
        "acts_in_the_window",
        overlappingEffects,
        "dropped",
        abandonedEffects,
        "handed_over",
        handovers,
        "terms",
        terms,
        "outranked",
        higherTermsSeen);
  }

  private void checkInvariants() {
    boolean majority = byRegistry || majorityCouldVote();
    for (int task = 0; task < TASKS.size(); task++) {
      int leaderCount = 0;
      String leaders = "";
      for (SimulatedGateway gateway : gateways) {
        if (gateway.running && gateway.leaderships.get(task).isLeader(gateway.localNanos())) {
          leaderCount++;
          leaders += " g" + gateway.index + " under " + gateway.leaderships.get(task).term();
        }
      }
      if (leaderCount > 1) {
        throw new InvariantViolation("two hold " + TASKS.get(task) + ":" + leaders);
      }
      if (leaderCount > 0 && !byRegistry && !majority) {
        throw new InvariantViolation(
            "no majority of voters within a lease, and" + leaders + " holds " + TASKS.get(task));
      }
      if (scheduler.nowNanos() > faultsUntilNanos) {
        vacantSinceNanos[task] =
            leaderCount > 0
                ? 0
                : vacantSinceNanos[task] == 0 ? scheduler.nowNanos() : vacantSinceNanos[task];
        longestVacancyNanos =
            Math.max(
                longestVacancyNanos,
                vacantSinceNanos[task] == 0 ? 0 : scheduler.nowNanos() - vacantSinceNanos[task]);
        if (longestVacancyNanos > MAX_VACANCY_NANOS && variant != LeadershipVariant.LOWEST_ALIVE) {
          throw new InvariantViolation(
              "calm, and "
                  + TASKS.get(task)
                  + " had no owner for "
                  + longestVacancyNanos / NANOS_PER_MILLI
                  + " ms");
        }
      }
    }
  }

  /** Whether a majority of voters could vote at some time within the last lease. */
  private boolean majorityCouldVote() {
    List<String> couldVote = new ArrayList<>();
    for (SimulatedGateway gateway : gateways) {
      if (gateway.running
          && scheduler.nowNanos() >= gateway.pausedUntilNanos
          && gateway.localNanos() >= gateway.votesFromNanos) {
        gateway.couldVoteAtNanos = scheduler.nowNanos();
      }
      if (gateway.couldVoteAtNanos > scheduler.nowNanos() - TIMINGS.longestNanos(LEASE_NANOS)) {
        couldVote.add("g" + gateway.index);
      }
    }
    return voterStages.get(currentStage).isMajority(couldVote)
        || (currentStage > 0 && voterStages.get(currentStage - 1).isMajority(couldVote));
  }

  // ---- Processes.

  private final class SimulatedGateway extends VirtualProcess {
    final int index;
    final List<Leadership> leaderships = new ArrayList<>();
    private final long[] timerGenerations = new long[TASKS.size()];
    private final long[] effectsUntilNanos = new long[TASKS.size()];
    private final boolean[] resigning = new boolean[TASKS.size()];
    long wallClockOffsetMillis = random.nextLong(-300, 300);
    long votesFromNanos;
    long couldVoteAtNanos = Long.MIN_VALUE;
    int knownStage;
    LeaseAcceptor acceptor;
    FencingGuard fence;

    SimulatedGateway(int index) {
      super(scheduler, EPOCH_NANOS, random);
      this.index = index;
    }

    void restart() {
      incarnation++;
      running = true;
      knownStage = currentStage;
      fence = new FencingGuard();
      long mutedNanos =
          variant == LeadershipVariant.NO_WAIT_AFTER_RESTART
              ? 0
              : TIMINGS.longestNanos(LEASE_NANOS);
      acceptor = new LeaseAcceptor(TIMINGS, localNanos(), mutedNanos);
      votesFromNanos = localNanos() + mutedNanos;
      leaderships.clear();
      Arrays.fill(resigning, false);
      for (int task = 0; task < TASKS.size(); task++) {
        leaderships.add(newLeadership(task));
        scheduleTick(task);
        scheduleTaskLoop(task);
      }
      if (variant == LeadershipVariant.LOWEST_ALIVE) {
        sendHeartbeats();
      }
    }

    private Leadership newLeadership(int task) {
      if (variant == LeadershipVariant.LOWEST_ALIVE) {
        return new LowestIdLeadership("g" + index, 1500 * NANOS_PER_MILLI, localNanos());
      }
      if (byRegistry) {
        RegistryLeadership leadership =
            new RegistryLeadership(TIMINGS, new RegistryKeyClient(this, task), random.nextLong());
        long[] registryKey = registryKeys[task];
        leadership.keyObserved(localNanos(), registryKey[1], registryKey[0] != 0, registryKey[2]);
        return leadership;
      }
      QuorumLeadership.Transport transport =
          (voterIndex, message) ->
              sendToVoter(Integer.parseInt(voterIndex.substring(1)), task, message);
      VoterConfiguration voters = voterStages.get(knownStage);
      long seed = random.nextLong();
      QuorumLeadership leadership =
          new QuorumLeadership(TIMINGS, TASKS.get(task), voters, transport, seed, localNanos()) {
            @Override
            protected long leaseStartNanos(long proposedAt, long acceptedAt) {
              return variant == LeadershipVariant.BELIEF_FROM_ANSWER
                  ? acceptedAt
                  : super.leaseStartNanos(proposedAt, acceptedAt);
            }
          };
      leadership.wallClockRead((scheduler.nowNanos() / NANOS_PER_MILLI) + wallClockOffsetMillis);
      return leadership;
    }

    /** Has something of another arrive here: lost, late or twice, as it comes. */
    void deliver(int fromIndex, Runnable task) {
      int draw = random.nextInt(100);
      boolean faultsActive = scheduler.nowNanos() < faultsUntilNanos;
      if ((faultsActive && draw < 5) || cutLinks[fromIndex][index]) {
        return;
      }
      schedule(
          scheduler.nowNanos()
              + (faultsActive && draw < 12
                  ? random.nextLong(MAX_DELAY_NANOS)
                  : random.nextLong(NANOS_PER_MILLI, 20 * NANOS_PER_MILLI)),
          task);
      if (faultsActive && draw > 96) {
        schedule(scheduler.nowNanos() + random.nextLong(NANOS_PER_SECOND), task);
      }
    }

    private void sendHeartbeats() {
      gateways.forEach(
          other ->
              other.deliver(
                  index,
                  () ->
                      other.leaderships.forEach(
                          gateway ->
                              ((LowestIdLeadership) gateway)
                                  .heartbeatReceived(other.localNanos(), "g" + index))));
      schedule(scheduler.nowNanos() + 300 * NANOS_PER_MILLI, this::sendHeartbeats);
    }

    private void scheduleTick(int task) {
      Leadership leadership = leaderships.get(task);
      long dueNanos = leadership.nextTickNanos();
      long generation = ++timerGenerations[task];
      if (dueNanos < Long.MAX_VALUE / 4) {
        schedule(
            scheduler.nowNanos() + Math.max(NANOS_PER_MILLI, dueNanos - localNanos()),
            () -> {
              if (leaderships.get(task) == leadership && timerGenerations[task] == generation) {
                if (leadership instanceof QuorumLeadership voted) {
                  voted.wallClockRead(
                      (scheduler.nowNanos() / NANOS_PER_MILLI) + wallClockOffsetMillis);
                }
                Leadership.State stateBefore = leadership.state();
                leadership.tick(localNanos());
                stateChanged(task, stateBefore);
                scheduleTick(task);
              }
            });
      }
    }

    private void stateChanged(int task, Leadership.State stateBefore) {
      Leadership leadership = leaderships.get(task);
      if (leadership.state() != stateBefore) {
        trace.accept(
            "g"
                + index
                + ": "
                + TASKS.get(task)
                + " "
                + stateBefore
                + " -> "
                + leadership.state()
                + " "
                + leadership.term());
        terms += leadership.state() == Leadership.State.WAITING ? 1 : 0;
      }
    }

    private void sendToVoter(int voterIndex, int task, LeaseMessage message) {
      SimulatedGateway other = gateways.get(voterIndex);
      other.deliver(
          index,
          () -> {
            LeaseMessage response =
                other.acceptor.messageReceived(other.localNanos(), "g" + index, message);
            if (response != null) {
              deliver(
                  voterIndex,
                  () -> {
                    Leadership leadership = leaderships.get(task);
                    Leadership.State stateBefore = leadership.state();
                    ((QuorumLeadership) leadership)
                        .responseReceived(localNanos(), "g" + voterIndex, response);
                    stateChanged(task, stateBefore);
                    scheduleTick(task);
                  });
            }
          });
    }

    /** Which start of the process this is. */
    private long currentIncarnation() {
      return incarnation;
    }

    // ---- What an owner does.

    private void scheduleTaskLoop(int task) {
      schedule(
          scheduler.nowNanos() + random.nextLong(100 * NANOS_PER_MILLI, 300 * NANOS_PER_MILLI),
          () -> {
            Leadership leadership = leaderships.get(task);
            if (leadership.isLeaderFor(localNanos(), EFFECT_NANOS) && !resigning[task]) {
              long term = leadership.term();
              // It may stand still between deciding and sending; it looks again, and may stand
              // still after that, too.
              pauseThen(
                  40,
                  () -> {
                    if (variant != LeadershipVariant.NO_SECOND_LOOK
                        && !(leadership.isLeaderFor(localNanos(), EFFECT_NANOS)
                            && leadership.term() == term
                            && !resigning[task])) {
                      abandonedEffects++;
                    } else {
                      sendEffect(task, term);
                    }
                  });
            }
            scheduleTaskLoop(task);
          });
    }

    private void pauseThen(int oneInN, Runnable continuation) {
      if (scheduler.nowNanos() < faultsUntilNanos && random.nextInt(oneInN) == 0) {
        pausedUntilNanos =
            Math.max(
                pausedUntilNanos, scheduler.nowNanos() + random.nextLong(6 * NANOS_PER_SECOND));
      }
      schedule(Math.max(scheduler.nowNanos(), pausedUntilNanos), continuation);
    }

    /**
     * Says that it has stopped, once what it did last is surely over; its word may be late, or
     * lost.
     */
    private void handOver(int task) {
      Leadership leadership = leaderships.get(task);
      if (leadership.isLeader(localNanos()) && scheduler.nowNanos() >= effectsUntilNanos[task]) {
        long term = leadership.term();
        handovers++;
        for (SimulatedGateway other : gateways) {
          if (other != this) {
            other.deliver(
                index,
                () -> {
                  Leadership there = other.leaderships.get(task);
                  Leadership.State stateBefore = there.state();
                  there.predecessorStopped(other.localNanos(), term);
                  other.stateChanged(task, stateBefore);
                  other.scheduleTick(task);
                });
          }
        }
      }
      leadership.resign(localNanos());
    }

    private void sendEffect(int task, long term) {
      sentEffects++;
      boolean delayed = scheduler.nowNanos() < faultsUntilNanos && random.nextInt(150) == 0;
      long sentAtNanos =
          scheduler.nowNanos() + (delayed ? random.nextLong(6 * NANOS_PER_SECOND) : 0);
      if (delayed) {
        pausedUntilNanos = Math.max(pausedUntilNanos, sentAtNanos);
      }
      long arrivesAtNanos = sentAtNanos + random.nextLong(MAX_SEND_NANOS);
      effectsUntilNanos[task] = Math.max(effectsUntilNanos[task], arrivesAtNanos + EFFECT_NANOS);
      scheduler.schedule(
          arrivesAtNanos,
          () ->
              applyUnfenced(
                  task,
                  new TaskEffect(
                      index,
                      term,
                      scheduler.nowNanos(),
                      scheduler.nowNanos() + EFFECT_NANOS,
                      delayed)));
      SimulatedGateway recipient = gateways.get(random.nextInt(gateways.size()));
      scheduler.schedule(
          sentAtNanos,
          () ->
              recipient.deliver(
                  index,
                  () -> {
                    boolean admitted =
                        variant == LeadershipVariant.NO_FENCE
                            || recipient.fence.tryAdmit(TASKS.get(task), term, "g" + index);
                    effectJudged(
                        task,
                        admitted,
                        recipient.index,
                        recipient.fence.highestTerm(TASKS.get(task)));
                  }));
      scheduler.schedule(
          arrivesAtNanos,
          () -> {
            boolean admitted =
                variant == LeadershipVariant.NO_FENCE
                    || durableFence.tryAdmit(TASKS.get(task), term, "g" + index);
            if (admitted) {
              if (term < durableTerms[task]) {
                throw new InvariantViolation(
                    TASKS.get(task)
                        + ": g"
                        + index
                        + "'s term "
                        + term
                        + " took effect after "
                        + durableTerms[task]);
              }
              durableTerms[task] = term;
            }
            effectJudged(task, admitted, -1, durableFence.highestTerm(TASKS.get(task)));
          });
    }

    /** Recipients tell with a refusal what they have seen. */
    private void effectJudged(int task, boolean admitted, int recipientIndex, long highestTerm) {
      if (admitted) {
        return;
      }
      rejectedEffects++;
      Runnable notifySender =
          () -> {
            Leadership leadership = leaderships.get(task);
            if (leadership.term() < highestTerm) {
              higherTermsSeen++;
              Leadership.State stateBefore = leadership.state();
              leadership.higherTermSeen(localNanos(), highestTerm);
              stateChanged(task, stateBefore);
              scheduleTick(task);
            }
          };
      if (recipientIndex < 0) {
        schedule(
            scheduler.nowNanos() + random.nextLong(NANOS_PER_MILLI, 20 * NANOS_PER_MILLI),
            notifySender);
      } else {
        deliver(recipientIndex, notifySender);
      }
    }
  }

  /** A place that compares no terms: two owners' acts must not lie within one another's time. */
  private void applyUnfenced(int task, TaskEffect effect) {
    TaskEffect previous = lastEffects[task];
    if (previous != null
        && previous.gateway != effect.gateway
        && effect.startNanos < previous.endNanos) {
      if (!effect.delayedInSending && !previous.delayedInSending) {
        throw new InvariantViolation(
            TASKS.get(task)
                + ": acts of g"
                + previous.gateway
                + " and g"
                + effect.gateway
                + " within "
                + (previous.endNanos - effect.startNanos) / NANOS_PER_MILLI
                + " ms");
      }
      overlappingEffects++;
    }
    lastEffects[task] = previous != null && previous.endNanos > effect.endNanos ? previous : effect;
  }

  // ---- The registry's key.

  private final class RegistryKeyClient implements RegistryLeadership.Commands {
    private final SimulatedGateway gateway;
    private final int task;

    RegistryKeyClient(SimulatedGateway gateway, int task) {
      this.gateway = gateway;
      this.task = task;
    }

    private RegistryLeadership leadership() {
      return (RegistryLeadership) gateway.leaderships.get(task);
    }

    private void atRegistry(Runnable request) {
      scheduler.schedule(
          scheduler.nowNanos() + random.nextLong(NANOS_PER_MILLI, 10 * NANOS_PER_MILLI),
          () -> {
            if (!registryUnavailable
                && (random.nextInt(20) > 0 || scheduler.nowNanos() > faultsUntilNanos)) {
              request.run();
            }
          });
    }

    private void atGateway(Runnable request) {
      gateway.schedule(
          scheduler.nowNanos() + random.nextLong(NANOS_PER_MILLI, 10 * NANOS_PER_MILLI),
          () -> {
            Leadership.State stateBefore = leadership().state();
            request.run();
            gateway.stateChanged(task, stateBefore);
            gateway.scheduleTick(task);
          });
    }

    @Override
    public void campaign(long term, long modRevision) {
      long sentIn = gateway.currentIncarnation();
      atRegistry(
          () -> {
            long[] registryKey = registryKeys[task];
            boolean granted =
                registryKey[0] == 0 && registryKey[2] == modRevision && term > registryKey[1];
            if (granted) {
              registryKey[0] = gateway.index + 1L;
              registryKey[1] = term;
              registryKey[2]++;
              extendLease(task);
              notifyWatchers(task);
            }
            if (gateway.currentIncarnation() == sentIn) {
              atGateway(
                  () -> {
                    if (granted) {
                      leadership().campaignWon(gateway.localNanos(), term);
                    } else {
                      leadership().leaseLost(gateway.localNanos());
                    }
                  });
            }
          });
    }

    @Override
    public void keepAlive(long requestedAtNanos) {
      long term = leadership().term();
      boolean[] answered = {false};
      atRegistry(
          () -> {
            boolean renewed =
                registryKeys[task][0] == gateway.index + 1 && registryKeys[task][1] == term;
            if (renewed) {
              extendLease(task);
            }
            atGateway(
                () -> {
                  answered[0] = true;
                  if (renewed) {
                    leadership().leaseRenewed(gateway.localNanos(), requestedAtNanos);
                  } else {
                    leadership().leaseLost(gateway.localNanos());
                  }
                });
          });
      gateway.schedule(
          scheduler.nowNanos() + LEASE_NANOS / 6,
          () -> {
            if (!answered[0] && leadership().term() == term) {
              leadership().renewalUnanswered(gateway.localNanos());
              gateway.scheduleTick(task);
            }
          });
    }

    @Override
    public void resign() {
      long term = leadership().term();
      atRegistry(
          () -> {
            if (registryKeys[task][0] == gateway.index + 1 && registryKeys[task][1] == term) {
              registryKeys[task][0] = 0;
              registryKeys[task][2]++;
              notifyWatchers(task);
            }
          });
    }
  }

  private void extendLease(int task) {
    registryKeys[task][3] = scheduler.nowNanos() + LEASE_NANOS;
    long changed = registryKeys[task][2];
    scheduler.schedule(registryKeys[task][3], () -> expireLease(task, changed));
  }

  private void expireLease(int task, long changed) {
    long[] key = registryKeys[task];
    if (key[0] != 0 && key[2] == changed && scheduler.nowNanos() >= key[3]) {
      key[0] = 0;
      key[2]++;
      notifyWatchers(task);
    }
  }

  private void notifyWatchers(int task) {
    long[] key = registryKeys[task].clone();
    gateways.forEach(
        gateway ->
            gateway.schedule(
                scheduler.nowNanos() + random.nextLong(NANOS_PER_MILLI, 50 * NANOS_PER_MILLI),
                () -> {
                  ((RegistryLeadership) gateway.leaderships.get(task))
                      .keyObserved(gateway.localNanos(), key[1], key[0] != 0, key[2]);
                  gateway.scheduleTick(task);
                }));
  }

  /**
   * A restored registry begins with an older term, and answers nobody before a lease has passed.
   */
  private void restoreRegistry() {
    registryUnavailable = true;
    long lostTerms = random.nextLong(8);
    trace.accept("the registry is restored from a backup, " + lostTerms + " terms back");
    scheduler.schedule(
        scheduler.nowNanos()
            + TIMINGS.longestNanos(LEASE_NANOS)
            + random.nextLong(NANOS_PER_SECOND),
        () -> {
          registryUnavailable = false;
          for (int task = 0; task < TASKS.size(); task++) {
            registryKeys[task] =
                new long[] {
                  0, Math.max(0, registryKeys[task][1] - lostTerms), registryKeys[task][2] + 1, 0
                };
            int taskIndex = task;
            gateways.forEach(
                gateway ->
                    gateway.schedule(
                        scheduler.nowNanos(),
                        () ->
                            ((RegistryLeadership) gateway.leaderships.get(taskIndex))
                                .registryRestored()));
            notifyWatchers(task);
          }
        });
  }

  // ---- What goes wrong.

  private void endFaults() {
    trace.accept("calm");
    for (boolean[] row : cutLinks) {
      Arrays.fill(row, false);
    }
    currentStage = voterStages.size() - 1;
    gateways.forEach(
        gateway -> {
          gateway.pausedUntilNanos = Math.min(gateway.pausedUntilNanos, scheduler.nowNanos());
          if (!gateway.running) {
            gateway.restart();
          }
          updateVoters(gateway);
        });
  }

  /**
   * The operators tell the next list, each gateway in its own time; the one after comes a lease
   * after all have it. Guards against an owner that was elected by the list before, in the last
   * moment.
   */
  private void advanceVoters() {
    if (currentStage + 1 < voterStages.size()
        && scheduler.nowNanos() < faultsUntilNanos - 10 * NANOS_PER_SECOND) {
      boolean allKnow =
          gateways.stream()
              .allMatch(gateway -> !gateway.running || gateway.knownStage == currentStage);
      roundsKnown = allKnow ? roundsKnown + 1 : 0;
      if (roundsKnown > 1) {
        roundsKnown = 0;
        currentStage++;
        trace.accept("the electorate becomes " + voterStages.get(currentStage));
        gateways.forEach(
            gateway ->
                gateway.schedule(
                    scheduler.nowNanos() + random.nextLong(3 * NANOS_PER_SECOND),
                    () -> updateVoters(gateway)));
      }
      scheduler.schedule(scheduler.nowNanos() + 4 * NANOS_PER_SECOND, this::advanceVoters);
    }
  }

  private void updateVoters(SimulatedGateway gateway) {
    if (gateway.knownStage != currentStage) {
      gateway.knownStage = currentStage;
      for (int task = 0; task < TASKS.size(); task++) {
        if (gateway.leaderships.get(task) instanceof QuorumLeadership voted) {
          voted.updateVoters(voterStages.get(currentStage));
          gateway.scheduleTick(task);
        }
      }
    }
  }

  private void injectFault() {
    if (scheduler.nowNanos() >= faultsUntilNanos) {
      return;
    }
    SimulatedGateway gateway = gateways.get(random.nextInt(gateways.size()));
    switch (random.nextInt(9)) {
      case 0, 1 -> crash(gateway);
      case 2, 3 -> {
        gateway.pausedUntilNanos =
            Math.max(
                gateway.pausedUntilNanos,
                scheduler.nowNanos() + random.nextLong(8 * NANOS_PER_SECOND));
        trace.accept(
            "g"
                + gateway.index
                + " stands still for "
                + (gateway.pausedUntilNanos - scheduler.nowNanos()) / NANOS_PER_MILLI
                + " ms");
      }
      case 4 -> {
        int task = random.nextInt(TASKS.size());
        if (gateway.running
            && scheduler.nowNanos() >= gateway.pausedUntilNanos
            && variant != LeadershipVariant.LOWEST_ALIVE) {
          trace.accept("g" + gateway.index + " lets " + TASKS.get(task) + " go");
          gateway.resigning[task] = true;
          long effectsOverNanos = Math.max(scheduler.nowNanos(), gateway.effectsUntilNanos[task]);
          gateway.schedule(effectsOverNanos, () -> gateway.handOver(task));
          gateway.schedule(
              effectsOverNanos + random.nextLong(2 * NANOS_PER_SECOND), () -> crash(gateway));
        }
      }
      case 5 -> partition();
      case 6 -> {
        int to = random.nextInt(gateways.size());
        cutLinks[gateway.index][to] = true;
        scheduler.schedule(
            scheduler.nowNanos() + random.nextLong(8 * NANOS_PER_SECOND),
            () -> cutLinks[gateway.index][to] = false);
      }
      case 7 -> {
        gateway.wallClockOffsetMillis = random.nextLong(-300, 300);
        if (random.nextInt(6) == 0) {
          trace.accept("all lose power");
          gateways.forEach(this::crash);
        }
      }
      default -> {
        if (byRegistry && !registryUnavailable) {
          if (random.nextBoolean()) {
            restoreRegistry();
          } else {
            registryUnavailable = true;
            scheduler.schedule(
                scheduler.nowNanos() + random.nextLong(4 * NANOS_PER_SECOND),
                () -> registryUnavailable = false);
          }
        }
      }
    }
    scheduler.schedule(
        scheduler.nowNanos() + (random.nextInt(4) == 0 ? 0 : random.nextLong(4 * NANOS_PER_SECOND)),
        this::injectFault);
  }

  private void crash(SimulatedGateway gateway) {
    if (gateway.running) {
      trace.accept("g" + gateway.index + " is killed");
      gateway.running = false;
      gateway.wallClockOffsetMillis -=
          random.nextInt(3) == 0 ? random.nextLong(2000) : 0; // Its clock may be set back.
      long taskIndex = gateway.incarnation;
      scheduler.schedule(
          scheduler.nowNanos() + random.nextLong(50 * NANOS_PER_MILLI, 5 * NANOS_PER_SECOND),
          () -> {
            if (gateway.incarnation == taskIndex && !gateway.running) {
              gateway.pausedUntilNanos = 0;
              gateway.restart();
            }
          });
    }
  }

  private void partition() {
    List<Integer> shuffled = new ArrayList<>(IntStream.range(0, gateways.size()).boxed().toList());
    Collections.shuffle(shuffled, new java.util.Random(random.nextLong()));
    int gatewayCount = 1 + random.nextInt(gateways.size() - 1);
    trace.accept("a partition: " + shuffled.subList(0, gatewayCount));
    setPartition(shuffled, gatewayCount, true);
    scheduler.schedule(
        scheduler.nowNanos() + random.nextLong(12 * NANOS_PER_SECOND),
        () -> setPartition(shuffled, gatewayCount, false));
  }

  private void setPartition(List<Integer> shuffled, int gatewayCount, boolean cut) {
    for (int from = 0; from < shuffled.size(); from++) {
      for (int to = 0; to < shuffled.size(); to++) {
        if (from < gatewayCount != to < gatewayCount) {
          cutLinks[shuffled.get(from)][shuffled.get(to)] = cut;
        }
      }
    }
  }
}
