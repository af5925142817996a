package org.amberpath.lab.simulation;

import org.amberpath.leadership.RegistryLeadership;

/**
 * Carries out what a {@link RegistryLeadership} asks of the registry: calls take up to {@value
 * #MAX_ONE_WAY_NANOS} ns each way, and one in {@value #UNANSWERED_ONE_IN} gets no answer while
 * faults are active.
 */
public abstract class LeaseKeyClient implements RegistryLeadership.Commands {
  private static final int UNANSWERED_ONE_IN = 20;
  private static final int TIMEOUT_LEASE_PARTS = 6;
  private static final long MIN_ONE_WAY_NANOS = Simulation.NANOS_PER_MILLI;
  private static final long MAX_ONE_WAY_NANOS = 10 * Simulation.NANOS_PER_MILLI;

  private final Simulation simulation;
  private final LeaseKey<?> key;
  private final SimulatedProcess process;
  private final int candidate;

  /**
   * A client in one process.
   *
   * @param candidate the name by which this process holds the key
   */
  protected LeaseKeyClient(
      Simulation simulation, LeaseKey<?> key, SimulatedProcess process, int candidate) {
    this.simulation = simulation;
    this.key = key;
    this.process = process;
    this.candidate = candidate;
  }

  /** The leadership of the process's present incarnation. */
  protected abstract RegistryLeadership leadership();

  /** Runs an answer at the process: whatever follows from a change of its leadership. */
  protected abstract void runAnswer(Runnable answer);

  /** The leadership may want another timer. */
  protected abstract void timerChanged();

  /** Whether the registry takes calls now. */
  protected boolean isRegistryAvailable() {
    return true;
  }

  /** Whether an answer to an earlier incarnation reaches the present one. */
  protected boolean answersLaterIncarnations() {
    return false;
  }

  /** The registry has given the key to this candidate. */
  protected void keyGranted(long term) {}

  /** The process has been told that it holds the key. */
  protected void campaignWon(long term) {}

  private void atRegistry(Runnable request) {
    simulation.after(
        drawOneWayNanos(),
        () -> {
          if (isRegistryAvailable()
              && (simulation.random().nextInt(UNANSWERED_ONE_IN) > 0
                  || simulation.nowNanos() > simulation.faultsUntilNanos())) {
            request.run();
          }
        });
  }

  private void atProcess(Runnable answer) {
    process.scheduleAfter(drawOneWayNanos(), () -> runAnswer(answer));
  }

  private long drawOneWayNanos() {
    return simulation.random().nextLong(MIN_ONE_WAY_NANOS, MAX_ONE_WAY_NANOS);
  }

  @Override
  public final void campaign(long term, long modRevision) {
    long sentIn = process.incarnation();
    atRegistry(
        () -> {
          boolean granted = key.tryAcquire(candidate, term, modRevision);
          if (granted) {
            keyGranted(term);
          }
          if (answersLaterIncarnations() || process.incarnation() == sentIn) {
            atProcess(() -> campaignAnswered(term, granted));
          }
        });
  }

  private void campaignAnswered(long term, boolean granted) {
    if (granted) {
      leadership().campaignWon(process.localNanos(), term);
      campaignWon(term);
    } else {
      leadership().leaseLost(process.localNanos());
    }
  }

  @Override
  public final void keepAlive(long requestedAtNanos) {
    long term = leadership().term();
    boolean[] answered = {false};
    atRegistry(
        () -> {
          boolean renewed = key.tryExtend(candidate, term);
          atProcess(
              () -> {
                answered[0] = true;
                if (renewed) {
                  leadership().leaseRenewed(process.localNanos(), requestedAtNanos);
                } else {
                  leadership().leaseLost(process.localNanos());
                }
              });
        });
    process.scheduleAfter(
        key.leaseNanos() / TIMEOUT_LEASE_PARTS,
        () -> {
          if (!answered[0] && leadership().term() == term) {
            leadership().renewalUnanswered(process.localNanos());
            timerChanged();
          }
        });
  }

  @Override
  public final void resign() {
    long term = leadership().term();
    atRegistry(() -> key.release(candidate, term));
  }
}
