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
import org.amberpath.lab.leadership.LeadershipModelExperiment.Way;
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
  private static final long MS = 1_000_000, SECOND = 1000 * MS, START = 1_700_000_000L * SECOND;
  private static final long BUSY = 60 * SECOND,
      LEASE = 3 * SECOND,
      ACT = 300 * MS,
      LATE = 3 * SECOND;

  /** What a message to a cache may take once it is written, and what a new owner waits for. */
  private static final long PIPE = 200 * MS, SETTLE = ACT + PIPE + 100 * MS;

  private static final LeaseTimings RULES = new LeaseTimings(LEASE, SETTLE, 1000);

  /**
   * By when a task has an owner again: voters wait a lease, tries come within another half, then it
   * settles.
   */
  private static final long OWNED_AGAIN = 2 * LEASE + LEASE / 2 + 2 * SECOND + SETTLE,
      CALM = OWNED_AGAIN + 5 * SECOND;

  private static final List<String> TASKS = List.of("probe", "sweep");

  /** A bar that was missed. */
  static final class Missed extends RuntimeException {
    Missed(String what) {
      super(what);
    }
  }

  private record Act(int by, long term, long from, long to, boolean stood) {}

  private final SplittableRandom chance;
  private final VirtualScheduler agenda = new VirtualScheduler(START);
  private final Consumer<String> story;
  private final Way way;
  private final boolean registry;
  private final List<GatewayProcess> all = new ArrayList<>();
  private final boolean[][] cut;
  private final long busyUntil = START + BUSY;

  /**
   * Of each task, what a place that compares no terms was asked for last; the fence that outlives
   * all power losses.
   */
  private final Act[] last = new Act[TASKS.size()];

  private final FencingGuard lasting = new FencingGuard();
  private final long[] lastingTerm = new long[TASKS.size()], vacantSince = new long[TASKS.size()];
  private final List<VoterConfiguration> stages = new ArrayList<>();
  private int stage, knownFor = 1;
  private long steps, acts, refused, windowActs, dropped, handed, terms, outranked, longestVacancy;
  private final long[][] registryKey =
      new long[TASKS.size()][4]; // holder + 1, term, changed, expiry
  private boolean registryAway;

  LeadershipModel(long seed, Way way, Consumer<String> story) {
    this.way = way;
    chance = new SplittableRandom(seed);
    this.story = line -> story.accept((agenda.now() - START) / 1000 + " us: " + line);
    registry = way == Way.RIGHT && chance.nextInt(3) == 0;
    int many = 3 + chance.nextInt(7);
    cut = new boolean[many][many];
    List<String> names = IntStream.range(0, many).mapToObj(one -> "g" + one).toList();
    List<String> first = names.subList(0, many >= 5 && chance.nextBoolean() ? 5 : 3);
    stages.add(new VoterConfiguration(first, List.of()));
    if (many >= 5 && chance.nextBoolean()) {
      List<String> next = names.subList(many - 3, many);
      stages.add(new VoterConfiguration(first, next));
      stages.add(new VoterConfiguration(next, List.of()));
    }
    names.forEach(name -> all.add(new GatewayProcess(all.size())));
  }

  Map<String, Long> run() {
    all.forEach(one -> agenda.at(START + chance.nextLong(SECOND), one::start));
    agenda.at(START + chance.nextLong(2 * SECOND), this::fault);
    if (stages.size() > 1) {
      agenda.at(START + 10 * SECOND + chance.nextLong(20 * SECOND), this::nextStage);
    }
    agenda.at(busyUntil, this::calm);
    while (agenda.step(busyUntil + CALM)) {
      steps++;
      check();
    }
    for (int task = 0; task < TASKS.size(); task++) {
      int of = task;
      long owners =
          all.stream().filter(one -> one.up && one.tenures.get(of).isLeader(one.clock())).count();
      if (owners != 1 && way != Way.LOWEST_ALIVE) {
        throw new Missed(
            "calm, and "
                + TASKS.get(task)
                + " has "
                + owners
                + " owners: "
                + all.stream().map(one -> one.up ? one.tenures.get(of).state() : null).toList());
      }
    }
    return Map.of(
        "steps",
        steps,
        "acts",
        acts,
        "refused",
        refused,
        "acts_in_the_window",
        windowActs,
        "dropped",
        dropped,
        "handed_over",
        handed,
        "terms",
        terms,
        "outranked",
        outranked);
  }

  private void check() {
    boolean majority = registry || majority();
    for (int task = 0; task < TASKS.size(); task++) {
      int holders = 0;
      String who = "";
      for (GatewayProcess one : all) {
        if (one.up && one.tenures.get(task).isLeader(one.clock())) {
          holders++;
          who += " g" + one.index + " under " + one.tenures.get(task).term();
        }
      }
      if (holders > 1) {
        throw new Missed("two hold " + TASKS.get(task) + ":" + who);
      }
      if (holders > 0 && !registry && !majority) {
        throw new Missed(
            "no majority of voters within a lease, and" + who + " holds " + TASKS.get(task));
      }
      if (agenda.now() > busyUntil) {
        vacantSince[task] =
            holders > 0 ? 0 : vacantSince[task] == 0 ? agenda.now() : vacantSince[task];
        longestVacancy =
            Math.max(longestVacancy, vacantSince[task] == 0 ? 0 : agenda.now() - vacantSince[task]);
        if (longestVacancy > OWNED_AGAIN && way != Way.LOWEST_ALIVE) {
          throw new Missed(
              "calm, and " + TASKS.get(task) + " had no owner for " + longestVacancy / MS + " ms");
        }
      }
    }
  }

  /** Whether a majority of voters could vote at some time within the last lease. */
  private boolean majority() {
    List<String> could = new ArrayList<>();
    for (GatewayProcess one : all) {
      if (one.up && agenda.now() >= one.frozenUntil && one.clock() >= one.votesFrom) {
        one.votedAt = agenda.now();
      }
      if (one.votedAt > agenda.now() - RULES.longestNanos(LEASE)) {
        could.add("g" + one.index);
      }
    }
    return stages.get(stage).isMajority(could)
        || (stage > 0 && stages.get(stage - 1).isMajority(could));
  }

  // ---- Processes.

  private final class GatewayProcess extends VirtualProcess {
    final int index;
    final List<Leadership> tenures = new ArrayList<>();
    private final long[] armed = new long[TASKS.size()], actsUntil = new long[TASKS.size()];
    private final boolean[] quits = new boolean[TASKS.size()];
    long wallOffset = chance.nextLong(-300, 300), votesFrom, votedAt = Long.MIN_VALUE;
    int knows;
    LeaseAcceptor voter;
    FencingGuard fence;

    GatewayProcess(int index) {
      super(agenda, START, chance);
      this.index = index;
    }

    void start() {
      life++;
      up = true;
      knows = stage;
      fence = new FencingGuard();
      long muted = way == Way.NO_WAIT_AFTER_RESTART ? 0 : RULES.longestNanos(LEASE);
      voter = new LeaseAcceptor(RULES, clock(), muted);
      votesFrom = clock() + muted;
      tenures.clear();
      Arrays.fill(quits, false);
      for (int task = 0; task < TASKS.size(); task++) {
        tenures.add(tenure(task));
        arm(task);
        act(task);
      }
      if (way == Way.LOWEST_ALIVE) {
        beat();
      }
    }

    private Leadership tenure(int task) {
      if (way == Way.LOWEST_ALIVE) {
        return new LowestIdLeadership("g" + index, 1500 * MS, clock());
      }
      if (registry) {
        RegistryLeadership made =
            new RegistryLeadership(RULES, new Key(this, task), chance.nextLong());
        long[] key = registryKey[task];
        made.keyObserved(clock(), key[1], key[0] != 0, key[2]);
        return made;
      }
      QuorumLeadership.Transport orders =
          (voter, vote) -> ask(Integer.parseInt(voter.substring(1)), task, vote);
      VoterConfiguration electorate = stages.get(knows);
      long seed = chance.nextLong();
      QuorumLeadership made =
          new QuorumLeadership(RULES, TASKS.get(task), electorate, orders, seed, clock()) {
            @Override
            protected long leaseStartNanos(long proposedAt, long acceptedAt) {
              return way == Way.BELIEF_FROM_ANSWER
                  ? acceptedAt
                  : super.leaseStartNanos(proposedAt, acceptedAt);
            }
          };
      made.wallClockRead((agenda.now() / MS) + wallOffset);
      return made;
    }

    /** Has something of another arrive here: lost, late or twice, as it comes. */
    void arrive(int from, Runnable what) {
      int kind = chance.nextInt(100);
      boolean busy = agenda.now() < busyUntil;
      if ((busy && kind < 5) || cut[from][index]) {
        return;
      }
      at(
          agenda.now() + (busy && kind < 12 ? chance.nextLong(LATE) : chance.nextLong(MS, 20 * MS)),
          what);
      if (busy && kind > 96) {
        at(agenda.now() + chance.nextLong(SECOND), what);
      }
    }

    private void beat() {
      all.forEach(
          other ->
              other.arrive(
                  index,
                  () ->
                      other.tenures.forEach(
                          one -> ((LowestIdLeadership) one).heard(other.clock(), "g" + index))));
      at(agenda.now() + 300 * MS, this::beat);
    }

    private void arm(int task) {
      Leadership of = tenures.get(task);
      long due = of.nextTickNanos(), mine = ++armed[task];
      if (due < Long.MAX_VALUE / 4) {
        at(
            agenda.now() + Math.max(MS, due - clock()),
            () -> {
              if (tenures.get(task) == of && armed[task] == mine) {
                if (of instanceof QuorumLeadership voted) {
                  voted.wallClockRead((agenda.now() / MS) + wallOffset);
                }
                Leadership.State before = of.state();
                of.tick(clock());
                told(task, before);
                arm(task);
              }
            });
      }
    }

    private void told(int task, Leadership.State before) {
      Leadership of = tenures.get(task);
      if (of.state() != before) {
        story.accept(
            "g"
                + index
                + ": "
                + TASKS.get(task)
                + " "
                + before
                + " -> "
                + of.state()
                + " "
                + of.term());
        terms += of.state() == Leadership.State.WAITING ? 1 : 0;
      }
    }

    private void ask(int voter, int task, LeaseMessage vote) {
      GatewayProcess other = all.get(voter);
      other.arrive(
          index,
          () -> {
            LeaseMessage answer = other.voter.messageReceived(other.clock(), "g" + index, vote);
            if (answer != null) {
              arrive(
                  voter,
                  () -> {
                    Leadership of = tenures.get(task);
                    Leadership.State before = of.state();
                    ((QuorumLeadership) of).responseReceived(clock(), "g" + voter, answer);
                    told(task, before);
                    arm(task);
                  });
            }
          });
    }

    /** Which start of the process this is. */
    private long life() {
      return life;
    }

    // ---- What an owner does.

    private void act(int task) {
      at(
          agenda.now() + chance.nextLong(100 * MS, 300 * MS),
          () -> {
            Leadership of = tenures.get(task);
            if (of.isLeaderFor(clock(), ACT) && !quits[task]) {
              long term = of.term();
              // It may stand still between deciding and sending; it looks again, and may stand
              // still after that, too.
              still(
                  40,
                  () -> {
                    if (way != Way.NO_SECOND_LOOK
                        && !(of.isLeaderFor(clock(), ACT) && of.term() == term && !quits[task])) {
                      dropped++;
                    } else {
                      send(task, term);
                    }
                  });
            }
            act(task);
          });
    }

    private void still(int oneIn, Runnable then) {
      if (agenda.now() < busyUntil && chance.nextInt(oneIn) == 0) {
        frozenUntil = Math.max(frozenUntil, agenda.now() + chance.nextLong(6 * SECOND));
      }
      at(Math.max(agenda.now(), frozenUntil), then);
    }

    /**
     * Says that it has stopped, once what it did last is surely over; its word may be late, or
     * lost.
     */
    private void handOver(int task) {
      Leadership of = tenures.get(task);
      if (of.isLeader(clock()) && agenda.now() >= actsUntil[task]) {
        long term = of.term();
        handed++;
        for (GatewayProcess other : all) {
          if (other != this) {
            other.arrive(
                index,
                () -> {
                  Leadership there = other.tenures.get(task);
                  Leadership.State before = there.state();
                  there.predecessorStopped(other.clock(), term);
                  other.told(task, before);
                  other.arm(task);
                });
          }
        }
      }
      of.resign(clock());
    }

    private void send(int task, long term) {
      acts++;
      boolean stood = agenda.now() < busyUntil && chance.nextInt(150) == 0;
      long leaves = agenda.now() + (stood ? chance.nextLong(6 * SECOND) : 0);
      if (stood) {
        frozenUntil = Math.max(frozenUntil, leaves);
      }
      long arrives = leaves + chance.nextLong(PIPE);
      actsUntil[task] = Math.max(actsUntil[task], arrives + ACT);
      agenda.at(
          arrives,
          () -> unfenced(task, new Act(index, term, agenda.now(), agenda.now() + ACT, stood)));
      GatewayProcess to = all.get(chance.nextInt(all.size()));
      agenda.at(
          leaves,
          () ->
              to.arrive(
                  index,
                  () -> {
                    boolean passes =
                        way == Way.NO_FENCE
                            || to.fence.tryAdmit(TASKS.get(task), term, "g" + index);
                    refuse(task, passes, to.index, to.fence.highestTerm(TASKS.get(task)));
                  }));
      agenda.at(
          arrives,
          () -> {
            boolean passes =
                way == Way.NO_FENCE || lasting.tryAdmit(TASKS.get(task), term, "g" + index);
            if (passes) {
              if (term < lastingTerm[task]) {
                throw new Missed(
                    TASKS.get(task)
                        + ": g"
                        + index
                        + "'s term "
                        + term
                        + " took effect after "
                        + lastingTerm[task]);
              }
              lastingTerm[task] = term;
            }
            refuse(task, passes, -1, lasting.highestTerm(TASKS.get(task)));
          });
    }

    /** Recipients tell with a refusal what they have seen. */
    private void refuse(int task, boolean passes, int by, long seen) {
      if (passes) {
        return;
      }
      refused++;
      Runnable tell =
          () -> {
            Leadership of = tenures.get(task);
            if (of.term() < seen) {
              outranked++;
              Leadership.State before = of.state();
              of.higherTermSeen(clock(), seen);
              told(task, before);
              arm(task);
            }
          };
      if (by < 0) {
        at(agenda.now() + chance.nextLong(MS, 20 * MS), tell);
      } else {
        arrive(by, tell);
      }
    }
  }

  /** A place that compares no terms: two owners' acts must not lie within one another's time. */
  private void unfenced(int task, Act act) {
    Act before = last[task];
    if (before != null && before.by != act.by && act.from < before.to) {
      if (!act.stood && !before.stood) {
        throw new Missed(
            TASKS.get(task)
                + ": acts of g"
                + before.by
                + " and g"
                + act.by
                + " within "
                + (before.to - act.from) / MS
                + " ms");
      }
      windowActs++;
    }
    last[task] = before != null && before.to > act.to ? before : act;
  }

  // ---- The registry's key.

  private final class Key implements RegistryLeadership.Commands {
    private final GatewayProcess of;
    private final int task;

    Key(GatewayProcess of, int task) {
      this.of = of;
      this.task = task;
    }

    private RegistryLeadership tenure() {
      return (RegistryLeadership) of.tenures.get(task);
    }

    private void there(Runnable what) {
      agenda.at(
          agenda.now() + chance.nextLong(MS, 10 * MS),
          () -> {
            if (!registryAway && (chance.nextInt(20) > 0 || agenda.now() > busyUntil)) {
              what.run();
            }
          });
    }

    private void back(Runnable what) {
      of.at(
          agenda.now() + chance.nextLong(MS, 10 * MS),
          () -> {
            Leadership.State before = tenure().state();
            what.run();
            of.told(task, before);
            of.arm(task);
          });
    }

    @Override
    public void campaign(long term, long changed) {
      long life = of.life();
      there(
          () -> {
            long[] key = registryKey[task];
            boolean won = key[0] == 0 && key[2] == changed && term > key[1];
            if (won) {
              key[0] = of.index + 1L;
              key[1] = term;
              key[2]++;
              lease(task);
              tell(task);
            }
            if (of.life() == life) {
              back(
                  () -> {
                    if (won) {
                      tenure().campaignWon(of.clock(), term);
                    } else {
                      tenure().leaseLost(of.clock());
                    }
                  });
            }
          });
    }

    @Override
    public void keepAlive(long askedAt) {
      long term = tenure().term();
      boolean[] heard = {false};
      there(
          () -> {
            boolean kept = registryKey[task][0] == of.index + 1 && registryKey[task][1] == term;
            if (kept) {
              lease(task);
            }
            back(
                () -> {
                  heard[0] = true;
                  if (kept) {
                    tenure().leaseRenewed(of.clock(), askedAt);
                  } else {
                    tenure().leaseLost(of.clock());
                  }
                });
          });
      of.at(
          agenda.now() + LEASE / 6,
          () -> {
            if (!heard[0] && tenure().term() == term) {
              tenure().renewalUnanswered(of.clock());
              of.arm(task);
            }
          });
    }

    @Override
    public void resign() {
      long term = tenure().term();
      there(
          () -> {
            if (registryKey[task][0] == of.index + 1 && registryKey[task][1] == term) {
              registryKey[task][0] = 0;
              registryKey[task][2]++;
              tell(task);
            }
          });
    }
  }

  private void lease(int task) {
    registryKey[task][3] = agenda.now() + LEASE;
    long changed = registryKey[task][2];
    agenda.at(registryKey[task][3], () -> expire(task, changed));
  }

  private void expire(int task, long changed) {
    long[] key = registryKey[task];
    if (key[0] != 0 && key[2] == changed && agenda.now() >= key[3]) {
      key[0] = 0;
      key[2]++;
      tell(task);
    }
  }

  private void tell(int task) {
    long[] key = registryKey[task].clone();
    all.forEach(
        one ->
            one.at(
                agenda.now() + chance.nextLong(MS, 50 * MS),
                () -> {
                  ((RegistryLeadership) one.tenures.get(task))
                      .keyObserved(one.clock(), key[1], key[0] != 0, key[2]);
                  one.arm(task);
                }));
  }

  /**
   * A restored registry begins with an older term, and answers nobody before a lease has passed.
   */
  private void restore() {
    registryAway = true;
    long back = chance.nextLong(8);
    story.accept("the registry is restored from a backup, " + back + " terms back");
    agenda.at(
        agenda.now() + RULES.longestNanos(LEASE) + chance.nextLong(SECOND),
        () -> {
          registryAway = false;
          for (int task = 0; task < TASKS.size(); task++) {
            registryKey[task] =
                new long[] {
                  0, Math.max(0, registryKey[task][1] - back), registryKey[task][2] + 1, 0
                };
            int of = task;
            all.forEach(
                one ->
                    one.at(
                        agenda.now(),
                        () -> ((RegistryLeadership) one.tenures.get(of)).registryRestored()));
            tell(task);
          }
        });
  }

  // ---- What goes wrong.

  private void calm() {
    story.accept("calm");
    for (boolean[] row : cut) {
      Arrays.fill(row, false);
    }
    stage = stages.size() - 1;
    all.forEach(
        one -> {
          one.frozenUntil = Math.min(one.frozenUntil, agenda.now());
          if (!one.up) {
            one.start();
          }
          know(one);
        });
  }

  /**
   * The operators tell the next list, each gateway in its own time; the one after comes a lease
   * after all have it. Guards against an owner that was elected by the list before, in the last
   * moment.
   */
  private void nextStage() {
    if (stage + 1 < stages.size() && agenda.now() < busyUntil - 10 * SECOND) {
      boolean allKnow = all.stream().allMatch(one -> !one.up || one.knows == stage);
      knownFor = allKnow ? knownFor + 1 : 0;
      if (knownFor > 1) {
        knownFor = 0;
        stage++;
        story.accept("the electorate becomes " + stages.get(stage));
        all.forEach(one -> one.at(agenda.now() + chance.nextLong(3 * SECOND), () -> know(one)));
      }
      agenda.at(agenda.now() + 4 * SECOND, this::nextStage);
    }
  }

  private void know(GatewayProcess one) {
    if (one.knows != stage) {
      one.knows = stage;
      for (int task = 0; task < TASKS.size(); task++) {
        if (one.tenures.get(task) instanceof QuorumLeadership voted) {
          voted.updateVoters(stages.get(stage));
          one.arm(task);
        }
      }
    }
  }

  private void fault() {
    if (agenda.now() >= busyUntil) {
      return;
    }
    GatewayProcess one = all.get(chance.nextInt(all.size()));
    switch (chance.nextInt(9)) {
      case 0, 1 -> kill(one);
      case 2, 3 -> {
        one.frozenUntil = Math.max(one.frozenUntil, agenda.now() + chance.nextLong(8 * SECOND));
        story.accept(
            "g" + one.index + " stands still for " + (one.frozenUntil - agenda.now()) / MS + " ms");
      }
      case 4 -> {
        int task = chance.nextInt(TASKS.size());
        if (one.up && agenda.now() >= one.frozenUntil && way != Way.LOWEST_ALIVE) {
          story.accept("g" + one.index + " lets " + TASKS.get(task) + " go");
          one.quits[task] = true;
          long idle = Math.max(agenda.now(), one.actsUntil[task]);
          one.at(idle, () -> one.handOver(task));
          one.at(idle + chance.nextLong(2 * SECOND), () -> kill(one));
        }
      }
      case 5 -> partition();
      case 6 -> {
        int other = chance.nextInt(all.size());
        cut[one.index][other] = true;
        agenda.at(agenda.now() + chance.nextLong(8 * SECOND), () -> cut[one.index][other] = false);
      }
      case 7 -> {
        one.wallOffset = chance.nextLong(-300, 300);
        if (chance.nextInt(6) == 0) {
          story.accept("all lose power");
          all.forEach(this::kill);
        }
      }
      default -> {
        if (registry && !registryAway) {
          if (chance.nextBoolean()) {
            restore();
          } else {
            registryAway = true;
            agenda.at(agenda.now() + chance.nextLong(4 * SECOND), () -> registryAway = false);
          }
        }
      }
    }
    agenda.at(
        agenda.now() + (chance.nextInt(4) == 0 ? 0 : chance.nextLong(4 * SECOND)), this::fault);
  }

  private void kill(GatewayProcess one) {
    if (one.up) {
      story.accept("g" + one.index + " is killed");
      one.up = false;
      one.wallOffset -=
          chance.nextInt(3) == 0 ? chance.nextLong(2000) : 0; // Its clock may be set back.
      long of = one.life;
      agenda.at(
          agenda.now() + chance.nextLong(50 * MS, 5 * SECOND),
          () -> {
            if (one.life == of && !one.up) {
              one.frozenUntil = 0;
              one.start();
            }
          });
    }
  }

  private void partition() {
    List<Integer> order = new ArrayList<>(IntStream.range(0, all.size()).boxed().toList());
    Collections.shuffle(order, new java.util.Random(chance.nextLong()));
    int many = 1 + chance.nextInt(all.size() - 1);
    story.accept("a partition: " + order.subList(0, many));
    split(order, many, true);
    agenda.at(agenda.now() + chance.nextLong(12 * SECOND), () -> split(order, many, false));
  }

  private void split(List<Integer> order, int many, boolean apart) {
    for (int from = 0; from < order.size(); from++) {
      for (int to = 0; to < order.size(); to++) {
        if (from < many != to < many) {
          cut[order.get(from)][order.get(to)] = apart;
        }
      }
    }
  }
}
