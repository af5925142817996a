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
  private static final long MS = 1_000_000, SECOND = 1000 * MS, START = 1_700_000_000L * SECOND;
  private static final long WARM = 15 * SECOND,
      BUSY = 40 * SECOND,
      CALM = 30 * SECOND,
      HEALED = 15 * SECOND;
  private static final long TICK = 100 * MS;
  private static final int LEAST = 3, MOST = 30, MOST_A_SECOND = 200, SEEDS = 3;
  private static final int MOST_RECORDED = 300,
      RECORDED_ONE_IN = 20,
      REPLAYED = 60,
      LIES_ONE_IN = 4;
  private static final double SLACK = 1e-9;

  /** A bar that was missed. */
  static final class Missed extends RuntimeException {
    Missed(String what) {
      super(what);
    }
  }

  /** One gateway's place: the process that runs there, if one does. */
  private final class Place implements SwimProtocol.Output {
    final int index;
    final String name, address;
    SwimProtocol view;
    private ReplayFilter door;

    /** Which process of this place: datagrams and ticks of an older one go nowhere. */
    int process;

    long incarnation, frozenUntil, second, sent;
    boolean left;

    Place(int index) {
      this.index = index;
      name = "g" + index;
      address = "a" + index;
    }

    void start() {
      process++;
      left = false;
      // Its clock is all that a process remembers of the starts before it, and the clock may have
      // gone back.
      incarnation = Math.max(1, (agenda.now() - START) / SECOND + chance.nextInt(-5, 5));
      long birth = chance.nextLong();
      door = new ReplayFilter(birth, rules.probeIntervalNanos(), agenda.now());
      view =
          new SwimProtocol(
              rules,
              new MemberUpdate(name, address, incarnation, birth, MemberStatus.ALIVE, name),
              List.of("a0", "a1", "a2"),
              chance.nextLong(),
              agenda.now(),
              this);
      int mine = process;
      agenda.at(agenda.now() + chance.nextLong(TICK), () -> tick(mine));
    }

    private void tick(int of) {
      if (of == process && view != null) {
        if (frozenUntil <= agenda.now()) {
          view.tick(agenda.now());
        }
        agenda.at(Math.max(agenda.now() + TICK, frozenUntil), () -> tick(of));
      }
    }

    @Override
    public void send(String to, GossipMessage said) {
      GossipMessage message = this == liar && calmSince == 0 ? lied(said) : said;
      long now = agenda.now() / SECOND;
      sent = now == second ? sent + 1 : 1;
      second = now;
      datagrams++;
      most = Math.max(most, sent);
      if (sent > MOST_A_SECOND) {
        throw new Missed(name + " sent " + sent + " datagrams in a second");
      }
      if (message.updates().size() > rules.maxUpdatesPerMessage()) {
        throw new Missed(name + " sent " + message.updates().size() + " rumours at once");
      }
      Place target = places.get(Integer.parseInt(to.substring(1)));
      if (recorded.size() < MOST_RECORDED || chance.nextInt(RECORDED_ONE_IN) == 0) {
        recorded.add(message);
        if (recorded.size() > MOST_RECORDED) {
          recorded.remove(chance.nextInt(recorded.size()));
        }
      }
      if (cut[index][target.index] || chance.nextDouble() < loss) {
        return;
      }
      int copies = chance.nextDouble() < doubled ? 2 : 1;
      for (int copy = 0; copy < copies; copy++) {
        int process = target.process;
        agenda.at(
            agenda.now() + MS / 5 + chance.nextLong(delay), () -> target.come(process, message));
      }
    }

    private void come(int of, GossipMessage message) {
      if (of != process || view == null) {
        return;
      }
      if (frozenUntil > agenda.now()) { // It waits in the socket.
        agenda.at(frozenUntil, () -> come(of, message));
      } else if (door.tryExamine(agenda.now())) {
        switch (door.check(agenda.now(), message)) {
          case TAKEN -> view.messageReceived(agenda.now(), message);
          case GREETED -> view.greet(agenda.now(), message.sender());
          default -> turnedAway++;
        }
      }
    }

    /** Says of another, whom it knows to run, that it is gone. */
    private GossipMessage lied(GossipMessage said) {
      List<SwimProtocol.ObservedMember> others = view.otherMembers();
      if (others.isEmpty()
          || chance.nextInt(LIES_ONE_IN) > 0
          || said.updates().size() == rules.maxUpdatesPerMessage()) {
        return said;
      }
      MemberUpdate of = others.get(chance.nextInt(others.size())).update();
      List<MemberUpdate> all = new ArrayList<>(said.updates());
      all.add(
          new MemberUpdate(
              of.name(),
              of.address(),
              of.incarnation() + chance.nextInt(2),
              of.instanceId(),
              chance.nextBoolean() ? MemberStatus.LOST : MemberStatus.LEFT,
              name));
      lies++;
      return new GossipMessage(
          said.kind(),
          said.sender(),
          said.recipientInstanceId(),
          said.sequenceNumber(),
          said.probeNumber(),
          said.countedDigest(),
          said.presentDigest(),
          said.subject(),
          said.hasMore(),
          said.fullySynced(),
          all);
    }

    @Override
    public void memberStatusChanged(String who, MemberStatus standing) {
      story.accept(name + ": " + who + " " + standing);
      falseLosses += standing == MemberStatus.LOST && runs(who) ? 1 : 0;
      if (calmSince > 0
          && agenda.now() - calmSince > HEALED
          && standing == MemberStatus.LOST
          && runs(who)) {
        throw new Missed(name + " holds " + who + " for lost, which runs and can be reached");
      }
    }

    private boolean runs(String who) {
      Place one = places.get(Integer.parseInt(who.substring(1)));
      return one.view != null && !one.left;
    }

    @Override
    public void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {
      story.accept(name + ": " + from + " -> " + to);
    }

    @Override
    public void nameConflictDetected(String at) {
      throw new Missed(name + " was told of a twin at " + at);
    }
  }

  private final SplittableRandom chance;
  private final VirtualScheduler agenda = new VirtualScheduler(START);
  private final Consumer<String> story;
  private final List<Place> places = new ArrayList<>();
  private final boolean[][] cut;
  private final SwimTimings rules;
  private final int first;

  /** What a stranger on the network kept of all that went by, to send it again. */
  private final List<GossipMessage> recorded = new ArrayList<>();

  private Place liar;
  private double loss, doubled;
  private boolean beyond;
  private long delay = 2 * MS, calmSince, datagrams, most, falseLosses, faults, steps;
  private long turnedAway, lies;

  MembershipModel(long seed, Consumer<String> story) {
    chance = new SplittableRandom(seed);
    this.story = line -> story.accept((agenda.now() - START) / MS + " ms: " + line);
    int many = LEAST + chance.nextInt(MOST - LEAST + 1);
    // In one run of three, more come than the operators told, once those before them have settled.
    boolean grows = chance.nextInt(3) == 0;
    first = grows ? Math.max(2, many - 1 - chance.nextInt(many / 2)) : many;
    rules = SwimTimings.defaults(grows ? first : many + chance.nextInt(3));
    cut = new boolean[many][many];
    for (int index = 0; index < many; index++) {
      places.add(new Place(index));
    }
    liar = chance.nextInt(6) == 0 ? places.get(chance.nextInt(many)) : null;
  }

  Map<String, Long> run() {
    for (int index = 0; index < first; index++) {
      Place one = places.get(index);
      agenda.at(START + chance.nextLong(2 * SECOND), one::start);
    }
    agenda.at(START + WARM, this::fault);
    long busyUntil = START + WARM + BUSY;
    agenda.at(busyUntil, this::calm);
    while (agenda.step(busyUntil + CALM)) {
      steps++;
      check();
    }
    for (Place one : places) {
      if (one.view != null && !one.view.presentNames().equals(running())) {
        throw new Missed(
            "calm, and " + one.name + " holds " + one.view.presentNames() + " of " + running());
      }
      if (one.view != null
          && one.view.phase() != SwimProtocol.Phase.SETTLED
          && running().size() * 2 > places.size()
          && one.view.countedMembers() < 2 * running().size()) {
        throw new Missed("calm, and " + one.name + " is " + one.view.phase());
      }
    }
    return Map.of(
        "steps",
        steps,
        "datagrams",
        datagrams,
        "most_in_a_second",
        most,
        "losses_of_running",
        falseLosses,
        "faults",
        faults,
        "turned_away",
        turnedAway,
        "lies",
        lies);
  }

  private List<String> running() {
    return places.stream()
        .filter(one -> one.view != null && !one.left)
        .map(one -> one.name)
        .sorted()
        .toList();
  }

  private void check() {
    double sum = 0;
    for (Place one : places) {
      // One beyond the told number that has reached nobody serves as before: what is promised ends
      // there.
      sum +=
          one.view == null || (beyond && one.view.phase() == SwimProtocol.Phase.ALONE)
              ? 0
              : one.view.quotaShare();
    }
    if (sum > 1 + SLACK) {
      throw new Missed(
          "shares sum to "
              + sum
              + ": "
              + places.stream()
                  .filter(one -> one.view != null)
                  .map(
                      one ->
                          one.name
                              + " "
                              + one.view.phase()
                              + " of "
                              + one.view.countedMembers()
                              + ": "
                              + one.view.quotaShare())
                  .toList());
    }
  }

  private void calm() {
    calmSince = agenda.now();
    loss = doubled = 0;
    delay = 2 * MS;
    for (boolean[] row : cut) {
      java.util.Arrays.fill(row, false);
    }
    story.accept("calm");
    if (places.stream().limit(SEEDS).allMatch(one -> one.view == null)) {
      places.get(0).frozenUntil = 0;
      places.get(0).start(); // Where all seeds are down, nobody can be found by them.
    }
  }

  private void fault() {
    if (calmSince > 0) {
      return;
    }
    faults++;
    beyond |= places.stream().skip(first).anyMatch(place -> place.process > 0);
    Place one = places.get(chance.nextInt(places.size()));
    boolean grown = one.index >= first && one.process == 0;
    switch (chance.nextInt(10)) {
      case 0, 1 -> {
        if (one.view != null && running().size() > 1) {
          story.accept(one.name + " is killed");
          one.view = null;
        }
      }
      case 2, 3 -> {
        // Beyond the told number a start that remembers nothing must find those before it as one.
        if (one.view == null
            && (first == places.size() || (!beyond && !grown) || (grown && settled()))) {
          story.accept(one.name + " starts");
          one.frozenUntil = 0;
          one.start();
        }
      }
      case 4 -> {
        if (one.view != null && running().size() > 1) {
          story.accept(one.name + " leaves");
          one.left = true;
          one.view.leave(agenda.now());
          one.view = null;
        }
      }
      case 5 -> {
        one.frozenUntil =
            Math.min(agenda.now() + chance.nextLong(12 * SECOND), START + WARM + BUSY);
        story.accept(one.name + " stands still");
      }
      case 6 -> {
        // Beyond the told number it is promised to those that were admitted before. Who is cut off
        // can't refute a liar.
        if (liar == null
            && (!beyond
                || places.stream()
                    .allMatch(place -> place.view == null || place.view.quotaShare() > 0))) {
          partition();
        }
      }
      case 7 -> {
        loss = chance.nextDouble() * 0.3;
        doubled = chance.nextDouble() * 0.2;
        delay = 1 + chance.nextLong(chance.nextBoolean() ? SECOND : 5 * MS);
        story.accept("loss " + loss + ", delays up to " + delay / MS + " ms");
      }
      case 8 -> {
        for (int again = 0; again < REPLAYED && !recorded.isEmpty(); again++) {
          GossipMessage old = recorded.get(chance.nextInt(recorded.size()));
          Place target = places.get(chance.nextInt(places.size()));
          int process = target.process;
          agenda.at(agenda.now() + chance.nextLong(SECOND), () -> target.come(process, old));
        }
        story.accept("old datagrams are sent again");
      }
      default -> {
        int other = chance.nextInt(places.size());
        cut[one.index][other] = true;
        story.accept("from " + one.name + " to g" + other + " nothing comes through");
        agenda.at(agenda.now() + chance.nextLong(10 * SECOND), () -> cut[one.index][other] = false);
      }
    }
    // Two faults in one moment among them.
    agenda.at(
        agenda.now() + (chance.nextInt(4) == 0 ? 0 : chance.nextLong(3 * SECOND)), this::fault);
  }

  /** Whether a gateway beyond the told number may come: those before it are one fleet. */
  private boolean settled() {
    return places.stream()
        .allMatch(one -> one.view == null || one.view.phase() == SwimProtocol.Phase.SETTLED);
  }

  private void partition() {
    boolean[] side = new boolean[places.size()];
    for (int one = 0; one < side.length; one++) {
      side[one] = chance.nextBoolean();
    }
    story.accept("a partition");
    split(side, true);
    agenda.at(agenda.now() + chance.nextLong(15 * SECOND), () -> split(side, false));
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
}
