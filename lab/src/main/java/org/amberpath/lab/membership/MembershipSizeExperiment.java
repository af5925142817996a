package org.amberpath.lab.membership;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.amberpath.lab.ExperimentReport;
import org.amberpath.lab.VirtualScheduler;
import org.amberpath.membership.GossipMessage;
import org.amberpath.membership.MemberStatus;
import org.amberpath.membership.MemberUpdate;
import org.amberpath.membership.ReplayFilter;
import org.amberpath.membership.SwimProtocol;
import org.amberpath.membership.SwimTimings;
import org.amberpath.membership.runtime.DatagramCodec;
import org.amberpath.membership.runtime.HmacKeyring;

/**
 * What a fleet's view costs and how soon it knows, by the fleet's size, on the virtual clock: a
 * start of all, a minute of five datagrams lost in a hundred, a crash, a join, a partition's
 * healing. Beside it, heartbeats to all.
 */
public final class MembershipSizeExperiment {
  private static final long MS = 1_000_000, SECOND = 1000 * MS, START = 1_700_000_000L * SECOND;
  private static final long DELAY = 2 * MS, HIGHEST_MS = 1_000_000, CUT = 20 * SECOND;
  private static final int SAMPLE = 64, TICKS = 5, SEEDS = 3;
  private static final double LOSS = 0.05;

  /** One size and setting; figures of it. */
  private static final class Trial {
    final SplittableRandom chance;
    final VirtualScheduler agenda = new VirtualScheduler(START);
    final SwimTimings rules;
    final int many;
    final DatagramCodec form = new DatagramCodec("size", 10);
    final HmacKeyring keys = HmacKeyring.of("k1", new byte[32]);
    final List<One> all = new ArrayList<>();
    long datagrams, sampled, sampledBytes, work, most, writing, reading;
    double loss;
    boolean apart;
    int falseLosses, falseSuspicions;
    boolean quiet;

    Trial(long seed, int many, long period) {
      chance = new SplittableRandom(seed);
      this.many = many;
      rules = SwimTimings.withProbeInterval(many, period);
      for (int one = 0; one < many; one++) {
        all.add(new One(one));
      }
    }

    /** One gateway. */
    final class One implements SwimProtocol.Output {
      final int index;
      final String name, address;
      SwimProtocol view;
      ReplayFilter door;
      long second, inSecond;

      One(int index) {
        this.index = index;
        name = "gateway-" + index;
        address = "10." + (index >> 16) + "." + (index >> 8 & 255) + "." + (index & 255) + ":7946";
      }

      void start() {
        long birth = chance.nextLong(), now = agenda.now();
        List<String> seeds =
            all.subList(0, Math.min(SEEDS, many)).stream().map(one -> one.address).toList();
        door = new ReplayFilter(birth, rules.probeIntervalNanos(), now);
        view =
            new SwimProtocol(
                rules,
                new MemberUpdate(name, address, now / SECOND, birth, MemberStatus.ALIVE, name),
                seeds,
                chance.nextLong(),
                now,
                this);
        SwimProtocol mine = view;
        agenda.at(now + chance.nextLong(rules.probeIntervalNanos() / TICKS), () -> tick(mine));
      }

      private void tick(SwimProtocol of) {
        if (view == of) {
          long since = System.nanoTime();
          view.tick(agenda.now());
          work += System.nanoTime() - since;
          agenda.at(agenda.now() + rules.probeIntervalNanos() / TICKS, () -> tick(of));
        }
      }

      private void come(GossipMessage message) {
        if (view == null) {
          return;
        }
        long since = System.nanoTime();
        if (door.tryExamine(agenda.now())) {
          switch (door.check(agenda.now(), message)) {
            case TAKEN -> view.messageReceived(agenda.now(), message);
            case GREETED -> view.greet(agenda.now(), message.sender());
            default -> {}
          }
        }
        work += System.nanoTime() - since;
      }

      @Override
      public void send(String to, GossipMessage message) {
        inSecond = agenda.now() / SECOND == second ? inSecond + 1 : 1;
        second = agenda.now() / SECOND;
        most = Math.max(most, inSecond);
        datagrams++;
        if (datagrams % SAMPLE == 0) {
          sampled++;
          long since = System.nanoTime();
          byte[] bytes = form.encode(message, keys);
          long written = System.nanoTime();
          form.decode(bytes, keys);
          writing += written - since;
          reading += System.nanoTime() - written;
          sampledBytes += bytes.length;
        }
        String[] parts = to.substring(0, to.indexOf(':')).split("\\.", -1);
        One target =
            all.get(
                Integer.parseInt(parts[1]) << 16
                    | Integer.parseInt(parts[2]) << 8
                    | Integer.parseInt(parts[3]));
        if (chance.nextDouble() >= loss && (!apart || index % 2 == target.index % 2)) {
          agenda.at(agenda.now() + MS / 5 + chance.nextLong(DELAY), () -> target.come(message));
        }
      }

      @Override
      public void memberStatusChanged(String who, MemberStatus standing) {
        falseSuspicions += quiet && standing == MemberStatus.SUSPECTED ? 1 : 0;
        falseLosses += quiet && standing == MemberStatus.LOST ? 1 : 0;
      }

      @Override
      public void phaseChanged(SwimProtocol.Phase from, SwimProtocol.Phase to) {}

      @Override
      public void nameConflictDetected(String at) {}
    }

    void pass(long time) {
      long end = agenda.now() + time;
      while (agenda.step(end)) {
        // The condition does the work.
      }
    }

    /**
     * Plays on until each that runs holds so many for there; the times at which each did, in ms.
     */
    Histogram until(int there, long longest) {
      Histogram took = new Histogram(HIGHEST_MS, 3);
      List<One> waiting = new ArrayList<>(all.stream().filter(one -> one.view != null).toList());
      long began = agenda.now();
      while (!waiting.isEmpty() && agenda.now() - began < longest) {
        pass(rules.probeIntervalNanos() / TICKS);
        long ms = (agenda.now() - began) / MS;
        waiting.removeIf(
            one -> {
              boolean done = one.view.presentCount() == there;
              if (done) {
                took.recordValue(ms);
              }
              return done;
            });
      }
      waiting.forEach(one -> took.recordValue(longest / MS));
      return took;
    }
  }

  private MembershipSizeExperiment() {}

  /** Plays each size with each period (ms), and prints a row for each. */
  public static ExperimentReport run(
      long seed, List<Integer> sizes, List<Integer> periods, PrintStream out) {
    ExperimentReport result = new ExperimentReport(seed);
    out.println(
        "figures of one gateway; suspicions and losses that it hears of, of such as run, at 5 % loss");
    out.println(
        "size  period  all known  datagrams/s  bytes/s  most/s, ever  suspicions/h  losses/h  "
            + "crash p50, p99, max   join p99  healed p99   CPU us/s a gateway, codec us a datagram sent, read");
    for (int size : sizes) {
      for (long period : periods) {
        row(new Trial(seed, size, period * MS), size, period * MS, result, out);
      }
      double beats = size - 1;
      out.printf(
          Locale.ROOT,
          "%4d  heartbeats to all, one each 0.5 s, lost after 5 missed: %.0f datagrams/s, "
              + "%.0f bytes/s a gateway; crash heard of after 2.5 to 3 s by each%n",
          size,
          2 * beats,
          2 * beats * BEAT);
    }
    return result;
  }

  /** A datagram that says no more than who sends it: what the form's header and its MAC take. */
  private static final int BEAT = 130;

  private static void row(
      Trial trial, int size, long period, ExperimentReport result, PrintStream out) {
    for (Trial.One one : trial.all) {
      trial.agenda.at(START + trial.chance.nextLong(2 * SECOND), one::start);
    }
    trial.pass(2 * SECOND);
    Histogram known = trial.until(size, 300 * SECOND);
    trial.pass(20 * SECOND);
    long datagrams = trial.datagrams, work = trial.work;
    trial.most = 0;
    trial.loss = LOSS;
    trial.quiet = true;
    trial.pass(60 * SECOND);
    trial.quiet = false;
    long lossyMost = trial.most;
    double second = (trial.datagrams - datagrams) / 60.0 / size;
    double cpu = (trial.work - work) / 1e3 / 60 / size;
    trial.loss = 0;
    trial.pass(5 * SECOND);
    trial.all.get(size - 1).view = null;
    Histogram crash = trial.until(size - 1, 300 * SECOND);
    trial.all.get(size - 1).start();
    Histogram join = trial.until(size, 300 * SECOND);
    trial.apart = true;
    trial.pass(CUT);
    trial.apart = false;
    Histogram healed = trial.until(size, 600 * SECOND);
    double each = trial.sampledBytes / (double) Math.max(1, trial.sampled);
    double writing = trial.writing / 1e3 / Math.max(1, trial.sampled),
        reading = trial.reading / 1e3 / Math.max(1, trial.sampled);
    String key = size + "_" + period / MS + "ms";
    out.printf(
        Locale.ROOT,
        "%4d  %4d ms  %6.1f s  %9.1f  %9.0f  %5d, %4d  %11.1f  %8.1f  ",
        size,
        period / MS,
        known.getMaxValue() / 1e3,
        second,
        second * each,
        lossyMost,
        trial.most,
        trial.falseSuspicions * 60.0 / size,
        trial.falseLosses * 60.0 / size);
    out.printf(
        Locale.ROOT,
        "%6.1f, %.1f, %.1f s  %6.1f s  %6.1f s  %8.0f, %.1f, %.1f%n",
        crash.getValueAtPercentile(50) / 1e3,
        crash.getValueAtPercentile(99) / 1e3,
        crash.getMaxValue() / 1e3,
        join.getValueAtPercentile(99) / 1e3,
        healed.getValueAtPercentile(99) / 1e3,
        cpu,
        writing,
        reading);
    result
        .figure(key + "_codec_us_sent", Math.round(writing * 10) / 10.0)
        .figure(key + "_codec_us_read", Math.round(reading * 10) / 10.0)
        .figure(key + "_datagrams_a_second", Math.round(second * 10) / 10.0)
        .figure(key + "_bytes_a_second", Math.round(second * each))
        .figure(key + "_crash_p99_ms", crash.getValueAtPercentile(99))
        .figure(key + "_healed_p99_ms", healed.getValueAtPercentile(99))
        .figure(key + "_false_losses_an_hour", trial.falseLosses * 60.0 / size)
        .bar(key + ": all know all in the end", healed.getMaxValue() < 600_000)
        .bar(key + ": under 60 datagrams in any second of the lossy minute", lossyMost <= 60)
        .bar(key + ": under 120 in any second", trial.most <= 120);
  }
}
