package org.amberpath.leadership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/**
 * Simulates several processes that elect a leader for each of two tasks by a quorum, without I/O or
 * a real clock. Faults: messages are lost, delayed and duplicated, processes are killed and
 * restarted without state, suspended, or partitioned, wall clocks step, clocks drift, all processes
 * restart at once, and lists of voters replace one another. Every message, answer and state is
 * recorded in order. Random numbers are drawn from the simulation's own generator, so that a seed
 * gives the same events everywhere.
 */
@SuppressWarnings("EnumOrdinal") // The order of the constants is part of the recorded seeds.
final class SeededQuorumSimulation {
  /** The numbers of processes and voters, and the message loss. */
  enum Scenario {
    /** Four processes, the first three vote. */
    THREE_VOTERS,
    /** Seven processes, the first five vote, and more messages are lost. */
    FIVE_VOTERS,
    /** Six processes; the voters change from the first three to the last three and back. */
    CHANGING_VOTERS,
    /** Three processes and one voter; no new leader needs to wait. */
    ONE_VOTER
  }

  private record Event(long atNanos, long order, Runnable action) {}

  static final long DURATION_NANOS = 400_000_000_000L;
  private static final long MS = 1_000_000;
  private static final long SECOND = 1000 * MS;
  private static final long LEASE = 3 * SECOND;
  private static final long FAULTY_PERIOD = 40 * SECOND;
  private static final long CALM_PERIOD = 20 * SECOND;
  private static final long WALL_MILLIS = 1_700_000_000_000L;
  private static final List<String> TASKS = List.of("probe", "sweep");

  final RecordedActions actions = new RecordedActions();
  private final Scenario scenario;
  private final SplittableRandom random;
  private final LeaseTimings timings;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private final List<Candidate> processes = new ArrayList<>();
  private final List<VoterConfiguration> stages = new ArrayList<>();
  private final boolean[][] linkDown;
  private long now;
  private long order;
  private int stage;

  SeededQuorumSimulation(Scenario scenario, long seed) {
    this.scenario = scenario;
    random = new SplittableRandom(seed * 31 + scenario.ordinal());
    timings = new LeaseTimings(LEASE, scenario == Scenario.ONE_VOTER ? 0 : 600 * MS, 1000);
    int count = new int[] {4, 7, 6, 3}[scenario.ordinal()];
    List<String> names = IntStream.range(0, count).mapToObj(index -> "g" + index).toList();
    List<String> first = names.subList(0, new int[] {3, 5, 3, 1}[scenario.ordinal()]);
    stages.add(new VoterConfiguration(first, List.of()));
    if (scenario == Scenario.CHANGING_VOTERS) {
      List<String> last = names.subList(count - 3, count);
      stages.add(new VoterConfiguration(first, last));
      stages.add(new VoterConfiguration(last, List.of()));
      stages.add(new VoterConfiguration(last, first));
    }
    linkDown = new boolean[count][count];
    for (int index = 0; index < count; index++) {
      processes.add(new Candidate(index));
    }
  }

  /** Runs all events. Returns the digest of all actions as hexadecimal digits. */
  String run() {
    processes.forEach(process -> schedule(random.nextLong(SECOND), process::start));
    schedule(random.nextLong(SECOND), this::scheduleFaults);
    if (stages.size() > 1) {
      schedule(20 * SECOND, this::nextStage);
    }
    while (!events.isEmpty() && events.peek().atNanos <= DURATION_NANOS) {
      Event event = events.poll();
      now = event.atNanos;
      event.action.run();
    }
    return actions.digest();
  }

  private boolean faultsActive() {
    return now % (FAULTY_PERIOD + CALM_PERIOD) < FAULTY_PERIOD;
  }

  private boolean withProbability(double probability) {
    return random.nextDouble() < probability;
  }

  private void schedule(long atNanos, Runnable action) {
    events.add(new Event(atNanos, ++order, action));
  }

  /**
   * Delivers a message to a process. The message may be lost, delayed or duplicated, and waits
   * while the process is suspended.
   */
  private void deliver(Candidate from, Candidate to, Runnable delivery) {
    if (linkDown[from.index][to.index]
        || (faultsActive() && withProbability(scenario == Scenario.FIVE_VOTERS ? 0.15 : 0.05))) {
      actions.count("lost");
      return;
    }
    long delay =
        faultsActive() && withProbability(0.06)
            ? random.nextLong(5 * SECOND)
            : random.nextLong(MS, 20 * MS);
    to.schedule(now + delay, delivery);
    if (withProbability(0.04)) {
      actions.count("doubled");
      to.schedule(now + delay + random.nextLong(2 * SECOND), delivery);
    }
  }

  private final class Candidate {
    final int index;
    final String name;
    private final long offsetNanos = random.nextLong(1000 * SECOND);
    private final int driftPpm = random.nextInt(-900, 900);
    private final Map<String, QuorumLeadership> leaderships = new TreeMap<>();
    private long wallOffsetMillis = random.nextLong(-300, 300);
    private FencingGuard fence = new FencingGuard();
    private LeaseAcceptor acceptor;
    private int incarnation;
    private boolean running;
    private long suspendedUntilNanos;

    Candidate(int index) {
      this.index = index;
      name = "g" + index;
    }

    /** The process's own monotonic clock. */
    long clock() {
      return offsetNanos + now + now / 1_000_000 * driftPpm;
    }

    /**
     * Runs an action unless the process has stopped or restarted by then; a suspended process runs
     * it when it resumes.
     */
    void schedule(long atNanos, Runnable action) {
      int scheduledIncarnation = incarnation;
      SeededQuorumSimulation.this.schedule(
          atNanos,
          () -> {
            if (!running || incarnation != scheduledIncarnation) {
              return;
            }
            if (now < suspendedUntilNanos) {
              schedule(suspendedUntilNanos, action);
            } else {
              action.run();
            }
          });
    }

    void start() {
      incarnation++;
      running = true;
      suspendedUntilNanos = 0;
      fence = new FencingGuard();
      VoterConfiguration voters = stages.get(stage);
      acceptor = voters.allVoters().contains(name) ? newAcceptor() : null;
      leaderships.clear();
      for (String task : TASKS) {
        leaderships.put(
            task,
            new QuorumLeadership(
                timings,
                task,
                voters,
                (voter, message) -> sendRequest(voter, message),
                random.nextLong(),
                clock()));
        recordState(task);
      }
      tickPeriodically();
    }

    private LeaseAcceptor newAcceptor() {
      return withProbability(0.1)
          ? new LeaseAcceptor(timings, clock(), SECOND)
          : new LeaseAcceptor(timings, clock());
    }

    void kill() {
      if (running) {
        running = false;
        actions.record("killed", name);
        wallOffsetMillis -= withProbability(0.3) ? random.nextLong(3000) : 0;
        int killedIncarnation = incarnation;
        SeededQuorumSimulation.this.schedule(
            now + random.nextLong(50 * MS, 5 * SECOND),
            () -> {
              if (!running && incarnation == killedIncarnation) {
                start();
              }
            });
      }
    }

    private void tickPeriodically() {
      for (String task : TASKS) {
        QuorumLeadership leadership = leaderships.get(task);
        leadership.wallClockRead(WALL_MILLIS + now / MS + wallOffsetMillis);
        leadership.updatePosition((index + task.length()) % processes.size());
        if (clock() >= leadership.nextTickNanos() || withProbability(0.05)) {
          Leadership.State before = leadership.state();
          leadership.tick(clock());
          recordTransition(task, before);
        }
        recordState(task);
        if (leadership.isLeader(clock()) && withProbability(0.1)) {
          sendAction(task, leadership.term());
        }
      }
      schedule(now + random.nextLong(10 * MS, 60 * MS), this::tickPeriodically);
    }

    /**
     * Sends an action of this leader to another process, where it takes effect unless that process
     * has seen a higher term.
     */
    private void sendAction(String task, long term) {
      Candidate recipient = processes.get(random.nextInt(processes.size()));
      deliver(
          this,
          recipient,
          () -> {
            boolean admitted = recipient.fence.tryAdmit(task, term, name);
            long seenTerm = recipient.fence.highestTerm(task);
            actions.record(admitted ? "acted" : "refused", recipient.name, task, term, seenTerm);
            if (!admitted) {
              deliver(recipient, this, () -> higherTermSeen(task, seenTerm));
            }
          });
    }

    void higherTermSeen(String task, long seenTerm) {
      change(task, leadership -> leadership.higherTermSeen(clock(), seenTerm));
    }

    private void sendRequest(String voter, LeaseMessage message) {
      actions.record("request", name, voter, describe(message));
      actions.count("request " + message.kind().ordinal());
      Candidate recipient = processes.get(Integer.parseInt(voter.substring(1)));
      deliver(this, recipient, () -> recipient.voteRequested(this, message));
    }

    private void voteRequested(Candidate from, LeaseMessage message) {
      LeaseMessage answer =
          acceptor == null ? null : acceptor.messageReceived(clock(), from.name, message);
      actions.record("answer", name, from.name, answer == null ? "none" : describe(answer));
      if (answer == null) {
        actions.count("no answer to " + message.kind().ordinal());
        return;
      }
      actions.count("answer " + answer.kind().ordinal() + (answer.detail() > 0 ? " other" : ""));
      deliver(this, from, () -> from.answerReceived(name, answer));
      if (withProbability(0.002)) {
        // Sends an answer on behalf of the last process, which in most settings is not
        // a voter.
        Candidate stranger = processes.get(processes.size() - 1);
        deliver(this, from, () -> from.answerReceived(stranger.name, answer));
      }
    }

    private void answerReceived(String voter, LeaseMessage answer) {
      change(answer.task(), leadership -> leadership.responseReceived(clock(), voter, answer));
    }

    void change(String task, Consumer<QuorumLeadership> event) {
      QuorumLeadership leadership = leaderships.get(task);
      if (leadership != null) {
        Leadership.State before = leadership.state();
        event.accept(leadership);
        recordTransition(task, before);
        recordState(task);
      }
    }

    private void recordTransition(String task, Leadership.State before) {
      Leadership.State after = leaderships.get(task).state();
      if (after != before) {
        actions.record(recordedText(before) + ">" + recordedText(after), name, task);
      }
    }

    private void recordState(String task) {
      QuorumLeadership leadership = leaderships.get(task);
      actions.record(
          "state " + recordedText(leadership.state()),
          name,
          task,
          leadership.term(),
          leadership.leaseExpiresAtNanos(),
          leadership.nextTickNanos(),
          leadership.isLeader(clock()),
          leadership.isLeaderFor(clock(), 300 * MS));
    }

    /** Resigns and notifies the other processes; notifications may be delayed or lost. */
    void resign(String task) {
      QuorumLeadership leadership = leaderships.get(task);
      boolean led = leadership.isLeader(clock());
      long term = leadership.term();
      change(task, resigning -> resigning.resign(clock()));
      if (led) {
        for (Candidate other : processes) {
          deliver(this, other, () -> other.predecessorStopped(task, term));
        }
      }
    }

    void predecessorStopped(String task, long term) {
      actions.record("handed over", name, task, term);
      change(task, leadership -> leadership.predecessorStopped(clock(), term));
    }

    void votersChanged() {
      VoterConfiguration voters = stages.get(stage);
      actions.record("voters", name, String.join(",", voters.allVoters()));
      if (!voters.allVoters().contains(name)) {
        acceptor = null;
      } else if (acceptor == null) {
        acceptor = newAcceptor();
      }
      for (String task : TASKS) {
        change(task, leadership -> leadership.updateVoters(voters));
      }
    }
  }

  /** Returns the recorded text of a state, which stays the same when a constant is renamed. */
  private static String recordedText(Leadership.State state) {
    return switch (state) {
      case FOLLOWING -> "following";
      case ASKING -> "asking";
      case WAITING -> "waiting";
      case HOLDING -> "holding";
      case RESIGNED -> "resigned";
    };
  }

  private static String describe(LeaseMessage message) {
    return message.kind().ordinal()
        + " "
        + message.task()
        + " "
        + message.ballot()
        + " "
        + message.detail()
        + " "
        + message.lastAcceptedBallot();
  }

  /**
   * Changes to the next voters, which each process applies within 2 s; stages are at least 20 s
   * apart, more than a lease.
   */
  private void nextStage() {
    stage = (stage + 1) % stages.size();
    for (Candidate process : processes) {
      process.schedule(now + random.nextLong(2 * SECOND), process::votersChanged);
    }
    schedule(now + 20 * SECOND + random.nextLong(20 * SECOND), this::nextStage);
  }

  // ---- Faults.

  private void scheduleFaults() {
    Candidate process = processes.get(random.nextInt(processes.size()));
    String task = TASKS.get(random.nextInt(TASKS.size()));
    if (faultsActive()) {
      injectFault(process, task);
    } else if (withProbability(0.2) && process.running && now >= process.suspendedUntilNanos) {
      actions.record("releases", process.name, task);
      process.change(task, leadership -> leadership.release(process.clock()));
    } else if (withProbability(0.3) && process.running && now >= process.suspendedUntilNanos) {
      process.resign(task);
      schedule(now + random.nextLong(2 * SECOND), process::kill);
    }
    schedule(now + random.nextLong(3 * SECOND), this::scheduleFaults);
  }

  private void injectFault(Candidate process, String task) {
    switch (random.nextInt(10)) {
      case 0, 1 -> process.kill();
      case 2 -> process.suspendedUntilNanos = now + random.nextLong(8 * SECOND);
      case 3 -> cutLink(process);
      case 4 -> partition();
      case 5 -> stepWallClock(process);
      case 6 -> {
        process.schedule(now, () -> process.resign(task));
        schedule(now + random.nextLong(4 * SECOND), process::kill);
      }
      case 7 -> sendStrayMessages(process, task);
      case 8 -> {
        long seenTerm =
            process.running ? process.leaderships.get(task).term() + random.nextLong(-5, 50) : 0;
        process.schedule(now, () -> process.higherTermSeen(task, seenTerm));
      }
      default ->
          process.schedule(now, () -> process.change(task, it -> it.release(process.clock())));
    }
  }

  private void cutLink(Candidate process) {
    int other = random.nextInt(processes.size());
    linkDown[process.index][other] = true;
    schedule(now + random.nextLong(8 * SECOND), () -> linkDown[process.index][other] = false);
  }

  private void partition() {
    boolean[] side = new boolean[processes.size()];
    for (int index = 0; index < side.length; index++) {
      side[index] = random.nextBoolean();
    }
    setPartitioned(side, true);
    schedule(now + random.nextLong(10 * SECOND), () -> setPartitioned(side, false));
  }

  private void setPartitioned(boolean[] side, boolean partitioned) {
    for (int from = 0; from < side.length; from++) {
      for (int to = 0; to < side.length; to++) {
        if (side[from] != side[to]) {
          linkDown[from][to] = partitioned;
        }
      }
    }
  }

  private void stepWallClock(Candidate process) {
    process.wallOffsetMillis = withProbability(0.1) ? 3_600_000 : random.nextLong(-3000, 3000);
    if (withProbability(0.2)) {
      actions.count("all restart");
      processes.forEach(Candidate::kill);
    }
  }

  /** Sends messages about many other tasks, and a stop notice of an older leader. */
  private void sendStrayMessages(Candidate process, String task) {
    long oldTerm = process.running ? process.leaderships.get(task).term() - random.nextLong(3) : 0;
    process.schedule(now, () -> process.predecessorStopped(task, oldTerm));
    for (int stray = 0; stray < 150; stray++) {
      String other = "t" + random.nextInt(120);
      LeaseMessage message =
          new LeaseMessage(
              LeaseMessage.Kind.values()[random.nextInt(LeaseMessage.Kind.values().length)],
              other,
              random.nextLong(5),
              random.nextLong(3));
      process.schedule(now, () -> process.voteRequested(process, message));
    }
    for (int stray = 0; stray < 400; stray++) {
      String fenced = "t" + random.nextInt(500);
      long ofTerm = 1L + random.nextInt(2);
      process.schedule(
          now,
          () ->
              actions.record(
                  "fence",
                  fenced,
                  process.fence.highestTerm(fenced),
                  process.fence.tryAdmit(fenced, ofTerm, "a")));
    }
  }
}
