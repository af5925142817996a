package org.amberpath.lab.leadership;

import java.util.ArrayList;
import java.util.List;
import org.amberpath.lab.simulation.LeaseKey;
import org.amberpath.lab.simulation.LeaseKeyClient;
import org.amberpath.lab.simulation.SimulatedProcess;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.leadership.FencingGuard;
import org.amberpath.leadership.Leadership;
import org.amberpath.leadership.LeaseAcceptor;
import org.amberpath.leadership.LeaseMessage;
import org.amberpath.leadership.QuorumLeadership;
import org.amberpath.leadership.RegistryLeadership;
import org.amberpath.leadership.VoterConfiguration;

/**
 * Simulated gateway of the leadership model: a candidate for each task, a voter, and a recipient of
 * leaders' effects.
 */
final class SimulatedCandidate extends SimulatedProcess {
  private static final long HEARTBEAT_INTERVAL_NANOS = 300 * Simulation.NANOS_PER_MILLI;
  private static final long HEARTBEAT_TIMEOUT_NANOS = 1500 * Simulation.NANOS_PER_MILLI;
  private static final long MAX_WALL_CLOCK_OFFSET_MILLIS = 300;
  private static final long MAX_WALL_CLOCK_SETBACK_MILLIS = 2000;
  private static final int LATE_ANSWER_ONE_IN = 5;

  /** Two calls that are each answered up to 3 s late. */
  private static final long MAX_ANSWER_DELAY_NANOS = 6 * Simulation.NANOS_PER_SECOND;

  private final LeadershipModel model;
  private final Simulation simulation;
  private final int index;
  private final List<Leadership> leaderships = new ArrayList<>();
  private final long[] timerGenerations = new long[LeadershipModel.TASKS.size()];
  private final LeaderTasks tasks;
  private long wallClockOffsetMillis;
  private long mayVoteFromNanos;
  private long couldVoteAtNanos = Long.MIN_VALUE;
  private int voterStage;
  private LeaseAcceptor acceptor;
  private FencingGuard fence;

  SimulatedCandidate(LeadershipModel model, int index) {
    super(model.simulation());
    this.model = model;
    simulation = model.simulation();
    this.index = index;
    tasks = new LeaderTasks(model, this);
    stepWallClock();
  }

  int index() {
    return index;
  }

  String name() {
    return "g" + index;
  }

  Leadership leadership(int task) {
    return leaderships.get(task);
  }

  boolean isLeader(int task) {
    return isRunning() && leaderships.get(task).isLeader(localNanos());
  }

  LeaderTasks tasks() {
    return tasks;
  }

  FencingGuard fence() {
    return fence;
  }

  int voterStage() {
    return voterStage;
  }

  /** Starts the process without any state of earlier incarnations. */
  void restart() {
    beginIncarnation();
    voterStage = model.voters().current();
    fence = new FencingGuard();
    long votingDelayNanos =
        model.variant() == LeadershipVariant.NO_WAIT_AFTER_RESTART
            ? 0
            : LeadershipModel.TIMINGS.longestNanos(LeadershipModel.LEASE_NANOS);
    acceptor = new LeaseAcceptor(LeadershipModel.TIMINGS, localNanos(), votingDelayNanos);
    mayVoteFromNanos = localNanos() + votingDelayNanos;
    leaderships.clear();
    tasks.processRestarted();
    for (int task = 0; task < LeadershipModel.TASKS.size(); task++) {
      leaderships.add(newLeadership(task));
      scheduleTick(task);
      tasks.scheduleNext(task);
    }
    if (model.variant() == LeadershipVariant.LOWEST_ALIVE) {
      sendHeartbeats();
    }
  }

  private Leadership newLeadership(int task) {
    if (model.variant() == LeadershipVariant.LOWEST_ALIVE) {
      return new LowestIdLeadership(name(), HEARTBEAT_TIMEOUT_NANOS, localNanos());
    }
    return model.electedByRegistry() ? newRegistryLeadership(task) : newQuorumLeadership(task);
  }

  private RegistryLeadership newRegistryLeadership(int task) {
    LeaseKey<SimulatedCandidate> key = model.registryKeys().key(task);
    RegistryLeadership leadership =
        new RegistryLeadership(
            LeadershipModel.TIMINGS, new KeyClient(key, task), simulation.random().nextLong());
    LeaseKey.KeyState observed = key.observe();
    leadership.keyObserved(localNanos(), observed.term(), observed.held(), observed.modRevision());
    return leadership;
  }

  private QuorumLeadership newQuorumLeadership(int task) {
    QuorumLeadership.Transport transport =
        (voter, message) -> sendToVoter(Integer.parseInt(voter.substring(1)), task, message);
    VoterConfiguration voters = model.voters().at(voterStage);
    long seed = simulation.random().nextLong();
    QuorumLeadership leadership =
        new QuorumLeadership(
            LeadershipModel.TIMINGS,
            LeadershipModel.TASKS.get(task),
            voters,
            transport,
            seed,
            localNanos()) {
          @Override
          protected long leaseStartNanos(long proposedAtNanos, long acceptedAtNanos) {
            return model.variant() == LeadershipVariant.BELIEF_FROM_ANSWER
                ? acceptedAtNanos
                : super.leaseStartNanos(proposedAtNanos, acceptedAtNanos);
          }
        };
    leadership.wallClockRead(wallClockMillis());
    return leadership;
  }

  private long wallClockMillis() {
    return simulation.nowNanos() / Simulation.NANOS_PER_MILLI + wallClockOffsetMillis;
  }

  /**
   * Steps the wall clock to a random offset of up to 300 ms from the simulated time, in either
   * direction.
   */
  void stepWallClock() {
    wallClockOffsetMillis =
        simulation.random().nextLong(-MAX_WALL_CLOCK_OFFSET_MILLIS, MAX_WALL_CLOCK_OFFSET_MILLIS);
  }

  /** Sets the wall clock back by up to two seconds, in one case of three. */
  void maybeSetBackWallClock() {
    wallClockOffsetMillis -=
        simulation.random().nextInt(3) == 0
            ? simulation.random().nextLong(MAX_WALL_CLOCK_SETBACK_MILLIS)
            : 0;
  }

  /**
   * Runs a task in this process once for each copy of a message that arrives from another process;
   * the message may be lost, delayed or duplicated.
   */
  void deliver(int fromIndex, Runnable task) {
    model.messages().deliverOver(model.links(), fromIndex, index, this, task);
  }

  private void sendHeartbeats() {
    model
        .candidates()
        .forEach(
            other ->
                other.deliver(
                    index,
                    () ->
                        other.leaderships.forEach(
                            leadership ->
                                ((LowestIdLeadership) leadership)
                                    .heartbeatReceived(other.localNanos(), name()))));
    scheduleAfter(HEARTBEAT_INTERVAL_NANOS, this::sendHeartbeats);
  }

  /**
   * Schedules the next tick of a leadership at the time that it requests; a tick scheduled earlier
   * has no effect.
   */
  void scheduleTick(int task) {
    Leadership leadership = leaderships.get(task);
    long dueNanos = leadership.nextTickNanos();
    long generation = ++timerGenerations[task];
    if (dueNanos < Long.MAX_VALUE / 4) {
      scheduleAfter(
          Math.max(Simulation.NANOS_PER_MILLI, dueNanos - localNanos()),
          () -> {
            if (leaderships.get(task) == leadership && timerGenerations[task] == generation) {
              if (leadership instanceof QuorumLeadership quorum) {
                quorum.wallClockRead(wallClockMillis());
              }
              runAndTrace(task, () -> leadership.tick(localNanos()));
            }
          });
    }
  }

  /**
   * Runs an action that may change the state of a leadership, traces a change, and reschedules the
   * next tick.
   */
  void runAndTrace(int task, Runnable action) {
    Leadership.State before = leaderships.get(task).state();
    action.run();
    Leadership leadership = leaderships.get(task);
    if (leadership.state() != before) {
      simulation.trace(
          name()
              + ": "
              + LeadershipModel.TASKS.get(task)
              + " "
              + before
              + " -> "
              + leadership.state()
              + " "
              + leadership.term());
      if (leadership.state() == Leadership.State.WAITING) {
        model.figures().termWon();
      }
    }
    scheduleTick(task);
  }

  private void sendToVoter(int voterIndex, int task, LeaseMessage message) {
    SimulatedCandidate voter = model.candidates().get(voterIndex);
    voter.deliver(
        index,
        () -> {
          LeaseMessage response =
              voter.acceptor.messageReceived(voter.localNanos(), name(), message);
          if (response != null) {
            deliver(
                voterIndex,
                () ->
                    runAndTrace(
                        task,
                        () ->
                            ((QuorumLeadership) leaderships.get(task))
                                .responseReceived(localNanos(), voter.name(), response)));
          }
        });
  }

  /**
   * Returns whether the acceptor could vote at some time after the given one, as far as earlier
   * calls and this one observed.
   */
  boolean couldVoteSince(long timeNanos) {
    if (isRunning() && !isPaused() && localNanos() >= mayVoteFromNanos) {
      couldVoteAtNanos = simulation.nowNanos();
    }
    return couldVoteAtNanos > timeNanos;
  }

  /** Applies the current voter configuration to the leaderships of this gateway. */
  void updateVoters() {
    VoterStages voters = model.voters();
    if (voterStage != voters.current()) {
      voterStage = voters.current();
      for (int task = 0; task < LeadershipModel.TASKS.size(); task++) {
        if (leaderships.get(task) instanceof QuorumLeadership quorum) {
          quorum.updateVoters(voters.at(voterStage));
          scheduleTick(task);
        }
      }
    }
  }

  private final class KeyClient extends LeaseKeyClient {
    private final int task;

    KeyClient(LeaseKey<SimulatedCandidate> key, int task) {
      super(simulation, key, SimulatedCandidate.this, index);
      this.task = task;
    }

    @Override
    protected RegistryLeadership leadership() {
      return (RegistryLeadership) leaderships.get(task);
    }

    @Override
    protected void runResponseHandler(Runnable answer) {
      runAndTrace(task, answer);
    }

    @Override
    protected void timerChanged() {
      scheduleTick(task);
    }

    /**
     * Draws a delay after which the next request may long have been made: a campaign is several
     * calls, each of which may be answered seconds late.
     */
    @Override
    protected long drawAnswerDelayNanos() {
      if (simulation.random().nextInt(LATE_ANSWER_ONE_IN) > 0) {
        return super.drawAnswerDelayNanos();
      }
      long delayNanos = simulation.random().nextLong(MAX_ANSWER_DELAY_NANOS);
      return simulation.nowNanos() + delayNanos < simulation.faultsUntilNanos()
          ? delayNanos
          : super.drawAnswerDelayNanos();
    }

    @Override
    protected long answeredCampaign(long requestedAtNanos, long latestRequestedAtNanos) {
      return model.variant() == LeadershipVariant.LEASE_FROM_LATEST_CAMPAIGN
          ? latestRequestedAtNanos
          : requestedAtNanos;
    }

    @Override
    protected boolean isRegistryAvailable() {
      return model.registryKeys().isAvailable();
    }
  }
}
