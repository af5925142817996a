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
final class SeededVotersWorld {
  /** The numbers of processes and voters, and the message loss. */
  enum Setting {
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

  static final long PLAYED_NANOS = 400_000_000_000L;
  private static final long MS = 1_000_000;
  private static final long SECOND = 1000 * MS;
  private static final long LEASE = 3 * SECOND;
  private static final long BUSY = 40 * SECOND;
  private static final long CALM = 20 * SECOND;
  private static final long WALL_MILLIS = 1_700_000_000_000L;
  private static final List<String> TASKS = List.of("probe", "sweep");

  final RecordedActions actions = new RecordedActions();
  private final Setting setting;
  private final SplittableRandom random;
  private final LeaseTimings timings;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private final List<Candidate> processes = new ArrayList<>();
  private final List<VoterConfiguration> stages = new ArrayList<>();
  private final boolean[][] cut;
  private long now;
  private long order;
  private int stage;

  SeededVotersWorld(Setting setting, long seed) {
    this.setting = setting;
    random = new SplittableRandom(seed * 31 + setting.ordinal());
    timings = new LeaseTimings(LEASE, setting == Setting.ONE_VOTER ? 0 : 600 * MS, 1000);
    int count = new int[] {4, 7, 6, 3}[setting.ordinal()];
    List<String> names = IntStream.range(0, count).mapToObj(index -> "g" + index).toList();
    List<String> first = names.subList(0, new int[] {3, 5, 3, 1}[setting.ordinal()]);
    stages.add(new VoterConfiguration(first, List.of()));
    if (setting == Setting.CHANGING_VOTERS) {
      List<String> last = names.subList(count - 3, count);
      stages.add(new VoterConfiguration(first, last));
      stages.add(new VoterConfiguration(last, List.of()));
      stages.add(new VoterConfiguration(last, first));
    }
    cut = new boolean[count][count];
    for (int index = 0; index < count; index++) {
      processes.add(new Candidate(index));
    }
  }

  /** Runs all events. Returns the digest of all actions as hexadecimal digits. */
  String play() {
    processes.forEach(process -> at(random.nextLong(SECOND), process::start));
    at(random.nextLong(SECOND), this::fault);
    if (stages.size() > 1) {
      at(20 * SECOND, this::nextStage);
    }
    while (!events.isEmpty() && events.peek().atNanos <= PLAYED_NANOS) {
      Event event = events.poll();
      now = event.atNanos;
      event.action.run();
    }
    return actions.digest();
  }

  private boolean busy() {
    return now % (BUSY + CALM) < BUSY;
  }

  private boolean withProbability(double probability) {
    return random.nextDouble() < probability;
  }

  private void at(long atNanos, Runnable action) {
    events.add(new Event(atNanos, ++order, action));
  }

  /**
   * Delivers a message to a process. The message may be lost, delayed or duplicated, and waits
   * while the process is suspended.
   */
  private void deliver(Candidate from, Candidate to, Runnable arrival) {
    if (cut[from.index][to.index]
        || (busy() && withProbability(setting == Setting.FIVE_VOTERS ? 0.15 : 0.05))) {
      actions.count("lost");
      return;
    }
    long delay =
        busy() && withProbability(0.06)
            ? random.nextLong(5 * SECOND)
            : random.nextLong(MS, 20 * MS);
    to.at(now + delay, arrival);
    if (withProbability(0.04)) {
      actions.count("doubled");
      to.at(now + delay + random.nextLong(2 * SECOND), arrival);
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
    private int life;
    private boolean up;
    private long frozenUntil;

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
    void at(long atNanos, Runnable action) {
      int scheduledIn = life;
      SeededVotersWorld.this.at(
          atNanos,
          () -> {
            if (!up || life != scheduledIn) {
              return;
            }
            if (now < frozenUntil) {
              at(frozenUntil, action);
            } else {
              action.run();
            }
          });
    }

    void start() {
      life++;
      up = true;
      frozenUntil = 0;
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
                (voter, message) -> request(voter, message),
                random.nextLong(),
                clock()));
        record(task);
      }
      round();
    }

    private LeaseAcceptor newAcceptor() {
      return withProbability(0.1)
          ? new LeaseAcceptor(timings, clock(), SECOND)
          : new LeaseAcceptor(timings, clock());
    }

    void kill() {
      if (up) {
        up = false;
        actions.record("killed", name);
        wallOffsetMillis -= withProbability(0.3) ? random.nextLong(3000) : 0;
        int killedIn = life;
        SeededVotersWorld.this.at(
            now + random.nextLong(50 * MS, 5 * SECOND),
            () -> {
              if (!up && life == killedIn) {
                start();
              }
            });
      }
    }

    private void round() {
      for (String task : TASKS) {
        QuorumLeadership leadership = leaderships.get(task);
        leadership.wallClockRead(WALL_MILLIS + now / MS + wallOffsetMillis);
        leadership.place((index + task.length()) % processes.size());
        if (clock() >= leadership.nextTickNanos() || withProbability(0.05)) {
          Leadership.State before = leadership.state();
          leadership.tick(clock());
          transition(task, before);
        }
        record(task);
        if (leadership.isLeader(clock()) && withProbability(0.1)) {
          act(task, leadership.term());
        }
      }
      at(now + random.nextLong(10 * MS, 60 * MS), this::round);
    }

    /**
     * Sends an action of this leader to another process, where it takes effect unless that process
     * has seen a higher term.
     */
    private void act(String task, long term) {
      Candidate recipient = processes.get(random.nextInt(processes.size()));
      deliver(
          this,
          recipient,
          () -> {
            boolean passes = recipient.fence.tryAdmit(task, term, name);
            long seen = recipient.fence.highestTerm(task);
            actions.record(passes ? "acted" : "refused", recipient.name, task, term, seen);
            if (!passes) {
              deliver(recipient, this, () -> outranked(task, seen));
            }
          });
    }

    void outranked(String task, long seen) {
      change(task, leadership -> leadership.higherTermSeen(clock(), seen));
    }

    private void request(String voter, LeaseMessage message) {
      actions.record("request", name, voter, describe(message));
      actions.count("request " + message.kind().ordinal());
      Candidate to = processes.get(Integer.parseInt(voter.substring(1)));
      deliver(this, to, () -> to.vote(this, message));
    }

    private void vote(Candidate from, LeaseMessage message) {
      LeaseMessage answer =
          acceptor == null ? null : acceptor.messageReceived(clock(), from.name, message);
      actions.record("answer", name, from.name, answer == null ? "none" : describe(answer));
      if (answer == null) {
        actions.count("no answer to " + message.kind().ordinal());
        return;
      }
      actions.count("answer " + answer.kind().ordinal() + (answer.other() > 0 ? " other" : ""));
      deliver(this, from, () -> from.answered(name, answer));
      if (withProbability(0.002)) {
        // Sends an answer on behalf of the last process, which in most settings is not
        // a voter.
        Candidate stranger = processes.get(processes.size() - 1);
        deliver(this, from, () -> from.answered(stranger.name, answer));
      }
    }

    private void answered(String voter, LeaseMessage answer) {
      change(answer.task(), leadership -> leadership.responseReceived(clock(), voter, answer));
    }

    void change(String task, Consumer<QuorumLeadership> event) {
      QuorumLeadership leadership = leaderships.get(task);
      if (leadership != null) {
        Leadership.State before = leadership.state();
        event.accept(leadership);
        transition(task, before);
        record(task);
      }
    }

    private void transition(String task, Leadership.State before) {
      Leadership.State after = leaderships.get(task).state();
      if (after != before) {
        actions.record(stateWord(before) + ">" + stateWord(after), name, task);
      }
    }

    private void record(String task) {
      QuorumLeadership leadership = leaderships.get(task);
      actions.record(
          "state " + stateWord(leadership.state()),
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
      boolean held = leadership.isLeader(clock());
      long term = leadership.term();
      change(task, resigning -> resigning.resign(clock()));
      if (held) {
        for (Candidate other : processes) {
          deliver(this, other, () -> other.handedOver(task, term));
        }
      }
    }

    void handedOver(String task, long term) {
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
  private static String stateWord(Leadership.State state) {
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
        + message.other()
        + " "
        + message.last();
  }

  /**
   * Changes to the next voters, which each process applies within 2 s; stages are at least 20 s
   * apart, more than a lease.
   */
  private void nextStage() {
    stage = (stage + 1) % stages.size();
    for (Candidate process : processes) {
      process.at(now + random.nextLong(2 * SECOND), process::votersChanged);
    }
    at(now + 20 * SECOND + random.nextLong(20 * SECOND), this::nextStage);
  }

  // ---- Faults.

  private void fault() {
    Candidate process = processes.get(random.nextInt(processes.size()));
    String task = TASKS.get(random.nextInt(TASKS.size()));
    if (busy()) {
      happens(process, task);
    } else if (withProbability(0.2) && process.up && now >= process.frozenUntil) {
      actions.record("releases", process.name, task);
      process.change(task, leadership -> leadership.release(process.clock()));
    } else if (withProbability(0.3) && process.up && now >= process.frozenUntil) {
      process.resign(task);
      at(now + random.nextLong(2 * SECOND), process::kill);
    }
    at(now + random.nextLong(3 * SECOND), this::fault);
  }

  private void happens(Candidate process, String task) {
    switch (random.nextInt(10)) {
      case 0, 1 -> process.kill();
      case 2 -> process.frozenUntil = now + random.nextLong(8 * SECOND);
      case 3 -> cutOff(process);
      case 4 -> partition();
      case 5 -> wallClockSteps(process);
      case 6 -> {
        process.at(now, () -> process.resign(task));
        at(now + random.nextLong(4 * SECOND), process::kill);
      }
      case 7 -> strays(process, task);
      case 8 -> {
        long seen = process.up ? process.leaderships.get(task).term() + random.nextLong(-5, 50) : 0;
        process.at(now, () -> process.outranked(task, seen));
      }
      default -> process.at(now, () -> process.change(task, it -> it.release(process.clock())));
    }
  }

  private void cutOff(Candidate process) {
    int other = random.nextInt(processes.size());
    cut[process.index][other] = true;
    at(now + random.nextLong(8 * SECOND), () -> cut[process.index][other] = false);
  }

  private void partition() {
    boolean[] side = new boolean[processes.size()];
    for (int index = 0; index < side.length; index++) {
      side[index] = random.nextBoolean();
    }
    split(side, true);
    at(now + random.nextLong(10 * SECOND), () -> split(side, false));
  }

  private void split(boolean[] side, boolean apart) {
    for (int from = 0; from < side.length; from++) {
      for (int to = 0; to < side.length; to++) {
        if (side[from] != side[to]) {
          cut[from][to] = apart;
        }
      }
    }
  }

  private void wallClockSteps(Candidate process) {
    process.wallOffsetMillis = withProbability(0.1) ? 3_600_000 : random.nextLong(-3000, 3000);
    if (withProbability(0.2)) {
      actions.count("all restart");
      processes.forEach(Candidate::kill);
    }
  }

  /** Sends messages about many other tasks, and a stop notice of an older leader. */
  private void strays(Candidate process, String task) {
    long oldTerm = process.up ? process.leaderships.get(task).term() - random.nextLong(3) : 0;
    process.at(now, () -> process.handedOver(task, oldTerm));
    for (int stray = 0; stray < 150; stray++) {
      String other = "t" + random.nextInt(120);
      LeaseMessage message =
          new LeaseMessage(
              LeaseMessage.Kind.values()[random.nextInt(LeaseMessage.Kind.values().length)],
              other,
              random.nextLong(5),
              random.nextLong(3));
      process.at(now, () -> process.vote(process, message));
    }
    for (int stray = 0; stray < 400; stray++) {
      String fenced = "t" + random.nextInt(500);
      long ofTerm = 1L + random.nextInt(2);
      process.at(
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
