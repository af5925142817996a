package org.amberpath.lab.simulation;

import org.amberpath.leadership.RegistryLeadership;

/**
 * Executes the commands of a {@link RegistryLeadership} against a {@link LeaseKey}. Requests and
 * responses take up to {@value #MAX_ONE_WAY_DELAY_NANOS} ns each way; while faults are active, one
 * request in {@value #UNANSWERED_ONE_IN} is lost.
 */
public abstract class LeaseKeyClient implements RegistryLeadership.Commands {
  private static final int UNANSWERED_ONE_IN = 20;
  private static final int RENEWAL_TIMEOUT_LEASE_DIVISOR = 6;
  private static final long MIN_ONE_WAY_DELAY_NANOS = Simulation.NANOS_PER_MILLI;
  private static final long MAX_ONE_WAY_DELAY_NANOS = 10 * Simulation.NANOS_PER_MILLI;

  private final Simulation simulation;
  private final LeaseKey<?> key;
  private final SimulatedProcess process;
  private final int candidate;
  private long latestCampaignAtNanos;

  /**
   * Creates the client of one process.
   *
   * @param candidate the number under which this process holds the key
   */
  protected LeaseKeyClient(
      Simulation simulation, LeaseKey<?> key, SimulatedProcess process, int candidate) {
    this.simulation = simulation;
    this.key = key;
    this.process = process;
    this.candidate = candidate;
  }

  /** Returns the leadership of the process's present incarnation. */
  protected abstract RegistryLeadership leadership();

  /**
   * Runs the handler of a response in the process, together with whatever follows from a change of
   * its leadership.
   */
  protected abstract void runResponseHandler(Runnable answer);

  /** Called when the leadership may need a timer at another time. */
  protected abstract void timerChanged();

  /** Returns whether the registry accepts requests now. */
  protected boolean isRegistryAvailable() {
    return true;
  }

  /**
   * Returns whether the response to a request of an earlier incarnation is delivered to the present
   * one.
   */
  protected boolean answersLaterIncarnations() {
    return false;
  }

  /** Called when the registry has given the key to this candidate, before the process knows. */
  protected void keyGranted(long term) {}

  /** Called when the process has received the response that it holds the key. */
  protected void campaignWon(long term) {}

  private void sendToRegistry(Runnable request) {
    simulation.after(
        drawOneWayDelayNanos(),
        () -> {
          if (isRegistryAvailable()
              && (simulation.random().nextInt(UNANSWERED_ONE_IN) > 0
                  || simulation.nowNanos() > simulation.faultsUntilNanos())) {
            request.run();
          }
        });
  }

  private void sendToProcess(Runnable answer) {
    process.scheduleAfter(drawAnswerDelayNanos(), () -> runResponseHandler(answer));
  }

  /** Returns how long the next answer of the registry is in transit, in nanoseconds. */
  protected long drawAnswerDelayNanos() {
    return drawOneWayDelayNanos();
  }

  /**
   * Returns the time of the campaign that an answer is taken for.
   *
   * @param requestedAtNanos when the answered campaign was requested
   * @param latestRequestedAtNanos when the latest campaign was requested
   */
  protected long answeredCampaign(long requestedAtNanos, long latestRequestedAtNanos) {
    return requestedAtNanos;
  }

  private long drawOneWayDelayNanos() {
    return simulation.random().nextLong(MIN_ONE_WAY_DELAY_NANOS, MAX_ONE_WAY_DELAY_NANOS);
  }

  @Override
  public final void campaign(long term, long modRevision, long requestedAtNanos) {
    long sentIncarnation = process.incarnation();
    latestCampaignAtNanos = requestedAtNanos;
    sendToRegistry(
        () -> {
          boolean granted = key.tryAcquire(candidate, term, modRevision);
          if (granted) {
            keyGranted(term);
          }
          if (answersLaterIncarnations() || process.incarnation() == sentIncarnation) {
            sendToProcess(() -> campaignAnswered(term, requestedAtNanos, granted));
          }
        });
  }

  private void campaignAnswered(long term, long campaignAtNanos, boolean granted) {
    long requestedAtNanos = answeredCampaign(campaignAtNanos, latestCampaignAtNanos);
    if (!granted) {
      leadership().campaignLost(process.localNanos(), requestedAtNanos);
    } else if (leadership().campaignWon(process.localNanos(), term, requestedAtNanos)) {
      campaignWon(term);
    } else {
      sendToRegistry(() -> key.release(candidate, term));
    }
  }

  @Override
  public final void keepAlive(long requestedAtNanos) {
    long term = leadership().term();
    boolean[] answered = {false};
    sendToRegistry(
        () -> {
          boolean renewed = key.tryExtend(candidate, term);
          sendToProcess(
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
        key.leaseNanos() / RENEWAL_TIMEOUT_LEASE_DIVISOR,
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
    sendToRegistry(() -> key.release(candidate, term));
  }
}
