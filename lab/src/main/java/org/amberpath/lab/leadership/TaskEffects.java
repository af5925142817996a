package org.amberpath.lab.leadership;

import java.util.SplittableRandom;
import org.amberpath.lab.simulation.InvariantViolation;
import org.amberpath.lab.simulation.Simulation;
import org.amberpath.leadership.FencingGuard;
import org.amberpath.leadership.Leadership;

/**
 * Delivers leaders' effects to three recipients: one that compares no terms, a gateway with an
 * in-memory fence, and a store whose fence survives power losses. Checks that the store applies no
 * effect of a lower term after one of a higher term, and that the effects of two leaders do not
 * overlap at the recipient that compares no terms, unless one of them was delayed by a pause during
 * sending.
 */
final class TaskEffects {
  /**
   * The effect of one leader at the recipient that compares no terms.
   *
   * @param delayedInSending whether the sender was paused between its last check of the lease and
   *     the sending
   */
  private record Effect(
      int candidate, long term, long startNanos, long endNanos, boolean delayedInSending) {}

  private static final int PAUSE_DURING_SEND_ONE_IN = 150;
  private static final long MIN_REPLY_NANOS = Simulation.NANOS_PER_MILLI;
  private static final long MAX_REPLY_NANOS = 20 * Simulation.NANOS_PER_MILLI;

  private final LeadershipModel model;
  private final Simulation simulation;
  private final FencingGuard durableFence = new FencingGuard();
  private final long[] durableTerms = new long[LeadershipModel.TASKS.size()];
  private final Effect[] lastUnfenced = new Effect[LeadershipModel.TASKS.size()];

  TaskEffects(LeadershipModel model) {
    this.model = model;
    simulation = model.simulation();
  }

  /**
   * Sends an effect to the three recipients; the sender may be paused while it writes.
   *
   * @return the simulated time in nanoseconds by which the effect has ended at the recipient that
   *     compares no terms
   */
  long send(SimulatedCandidate sender, int task, long term) {
    model.figures().effectSent();
    SplittableRandom random = simulation.random();
    boolean delayed = simulation.faultsActive() && random.nextInt(PAUSE_DURING_SEND_ONE_IN) == 0;
    long sentAtNanos =
        simulation.nowNanos() + (delayed ? random.nextLong(LeaderTasks.MAX_PAUSE_NANOS) : 0);
    if (delayed) {
      sender.pauseAtLeastUntil(sentAtNanos);
    }
    long arrivesAtNanos = sentAtNanos + random.nextLong(LeadershipModel.MAX_SEND_NANOS);
    simulation
        .scheduler()
        .schedule(arrivesAtNanos, () -> applyUnfenced(task, newEffect(sender, term, delayed)));
    SimulatedCandidate recipient =
        model.candidates().get(random.nextInt(model.candidates().size()));
    simulation
        .scheduler()
        .schedule(
            sentAtNanos,
            () -> recipient.deliver(sender.index(), () -> applyAt(recipient, sender, task, term)));
    simulation.scheduler().schedule(arrivesAtNanos, () -> applyDurably(sender, task, term));
    return arrivesAtNanos + LeadershipModel.EFFECT_NANOS;
  }

  private Effect newEffect(SimulatedCandidate sender, long term, boolean delayed) {
    long nowNanos = simulation.nowNanos();
    return new Effect(
        sender.index(), term, nowNanos, nowNanos + LeadershipModel.EFFECT_NANOS, delayed);
  }

  private boolean admits(FencingGuard fence, SimulatedCandidate sender, int task, long term) {
    return model.variant() == LeadershipVariant.NO_FENCE
        || fence.tryAdmit(LeadershipModel.TASKS.get(task), term, sender.name());
  }

  private void applyAt(
      SimulatedCandidate recipient, SimulatedCandidate sender, int task, long term) {
    if (!admits(recipient.fence(), sender, task, term)) {
      long highestTerm = recipient.fence().highestTerm(LeadershipModel.TASKS.get(task));
      model.figures().effectRejected();
      sender.deliver(recipient.index(), () -> higherTermReported(sender, task, highestTerm));
    }
  }

  private void applyDurably(SimulatedCandidate sender, int task, long term) {
    if (admits(durableFence, sender, task, term)) {
      if (term < durableTerms[task]) {
        throw new InvariantViolation(
            LeadershipModel.TASKS.get(task)
                + ": "
                + sender.name()
                + "'s term "
                + term
                + " took effect after term "
                + durableTerms[task]);
      }
      durableTerms[task] = term;
    } else {
      long highestTerm = durableFence.highestTerm(LeadershipModel.TASKS.get(task));
      model.figures().effectRejected();
      sender.scheduleAfter(
          simulation.random().nextLong(MIN_REPLY_NANOS, MAX_REPLY_NANOS),
          () -> higherTermReported(sender, task, highestTerm));
    }
  }

  /** Handles the highest term that a recipient has seen, which it reports with a rejection. */
  private void higherTermReported(SimulatedCandidate sender, int task, long highestTerm) {
    Leadership leadership = sender.leadership(task);
    if (leadership.term() < highestTerm) {
      model.figures().higherTermSeen();
      sender.runAndTrace(task, () -> leadership.higherTermSeen(sender.localNanos(), highestTerm));
    }
  }

  private void applyUnfenced(int task, Effect effect) {
    Effect previous = lastUnfenced[task];
    if (previous != null
        && previous.candidate != effect.candidate
        && effect.startNanos < previous.endNanos) {
      if (!effect.delayedInSending && !previous.delayedInSending) {
        throw new InvariantViolation(
            LeadershipModel.TASKS.get(task)
                + ": effects of g"
                + previous.candidate
                + " and g"
                + effect.candidate
                + " overlap by "
                + (previous.endNanos - effect.startNanos) / Simulation.NANOS_PER_MILLI
                + " ms");
      }
      model.figures().effectsOverlapped();
    }
    lastUnfenced[task] =
        previous != null && previous.endNanos > effect.endNanos ? previous : effect;
  }
}
