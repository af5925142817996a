package org.amberpath.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * The SWIM failure detector. Probes one member per probe interval with a ping. If the ping is not
 * acknowledged within the probe timeout, asks up to {@value #INDIRECT_PROBES} other members to
 * probe the target (SWIM's ping-req). A target that acknowledges neither the direct nor an indirect
 * probe is suspected. Also relays probes that other members request.
 *
 * <p>Bounds: one probe of its own at a time, {@value #MAX_RELAYED_PROBES} relayed probes.
 */
final class FailureDetector {
  private static final int INDIRECT_PROBES = 3;
  private static final int MAX_RELAYED_PROBES = 64;

  /**
   * A probe fails after this many probe timeouts: one for the direct probe, the others for the
   * indirect probes.
   */
  private static final int TIMEOUTS_UNTIL_FAILED = 3;

  /** The state of this process's own probe. */
  private enum State {
    /** No probe is in progress. */
    IDLE,
    /** A ping was sent to the target; its acknowledgement is awaited. */
    DIRECT,
    /** The direct probe timed out; other members were asked to probe the target. */
    INDIRECT
  }

  /**
   * A probe that this process sends on behalf of another member.
   *
   * @param requester the member that asked for the probe and receives its result
   * @param requestNumber the requester's probe number, which the answer repeats
   * @param deadlineNanos when the requester is sent a {@link Kind#NACK} unless the target answered
   */
  private record RelayedProbe(MemberUpdate requester, long requestNumber, long deadlineNanos) {}

  private final SwimContext context;
  private final LocalHealth localHealth;
  private final ProbeOrder probeOrder;
  private final UpdateMerger merger;

  /** Relayed probes, by the probe number of this process's ping to the target. */
  private final Map<Long, RelayedProbe> relayedProbes = new LinkedHashMap<>();

  private long nextProbeNanos;
  private State state = State.IDLE;
  private MemberEntry target;
  private long probeNumber;
  private long sentAtNanos;

  /**
   * How many members that were asked for an indirect probe have not yet reported with a {@link
   * Kind#NACK} that the target did not answer them.
   */
  private int missingNacks;

  FailureDetector(
      SwimContext context,
      LocalHealth localHealth,
      ProbeOrder probeOrder,
      UpdateMerger merger,
      long firstProbeNanos) {
    this.context = context;
    this.localHealth = localHealth;
    this.probeOrder = probeOrder;
    this.merger = merger;
    nextProbeNanos = firstProbeNanos;
  }

  /**
   * Processes an acknowledgement: ends this process's own probe, or forwards the acknowledgement to
   * the member that requested a relayed probe.
   */
  void ackReceived(long answeredNumber) {
    if (isCurrent(answeredNumber)) {
      transitionTo(State.IDLE);
      localHealth.improve();
    }
    RelayedProbe relayedProbe = relayedProbes.remove(answeredNumber);
    if (relayedProbe != null) {
      context
          .sender()
          .send(relayedProbe.requester, Kind.ACK, relayedProbe.requestNumber, List.of());
    }
  }

  /**
   * Processes a report that an indirect probe was not answered. The report shows that this process
   * still receives datagrams from the reporting member.
   */
  void nackReceived(long answeredNumber) {
    if (isCurrent(answeredNumber)) {
      missingNacks = Math.max(0, missingNacks - 1);
    }
  }

  /**
   * Probes the requested member on behalf of the requester. The request is ignored if that member
   * is unknown or {@value #MAX_RELAYED_PROBES} relayed probes are in progress.
   */
  void relayProbe(MemberEntry requester, GossipMessage request, long nowNanos) {
    Optional<MemberEntry> subject = context.table().find(request.subject());
    if (subject.isPresent() && relayedProbes.size() < MAX_RELAYED_PROBES) {
      long deadlineNanos = nowNanos + context.timings().probeTimeoutNanos();
      long relayNumber = context.sender().nextProbeNumber();
      relayedProbes.put(
          relayNumber, new RelayedProbe(requester.update, request.probeNumber(), deadlineNanos));
      sendPing(subject.get(), relayNumber);
    }
  }

  /**
   * Called after this process was paused: cancels all probes, because a paused process could not
   * receive their answers.
   */
  void resetAfterPause() {
    transitionTo(State.IDLE);
    relayedProbes.clear();
  }

  /**
   * Advances this process's own probe when its timeout has passed, and reports expired relayed
   * probes to their requesters with a {@link Kind#NACK}.
   */
  void checkTimeouts(long nowNanos) {
    checkOwnProbe(nowNanos);
    for (RelayedProbe expired : removeExpiredRelayedProbes(nowNanos)) {
      context.sender().send(expired.requester, Kind.NACK, expired.requestNumber, List.of());
    }
  }

  /** Probes the next member in the probe order when a probe is due and none is in progress. */
  void probeIfDue(long nowNanos) {
    if (state != State.IDLE || nowNanos < nextProbeNanos) {
      return;
    }
    nextProbeNanos = nowNanos + context.timings().probeIntervalNanos();
    probeOrder
        .next()
        .ifPresent(
            next -> {
              target = next;
              probeNumber = context.sender().nextProbeNumber();
              sentAtNanos = nowNanos;
              missingNacks = 0;
              transitionTo(State.DIRECT);
              sendPing(next, probeNumber);
            });
  }

  /** Changes the state; the only method that does. A probe becomes indirect only from direct. */
  private void transitionTo(State next) {
    if (next == State.INDIRECT && state != State.DIRECT) {
      throw new IllegalStateException("invalid probe state transition: " + state + " to " + next);
    }
    state = next;
  }

  private boolean isCurrent(long number) {
    return state != State.IDLE && probeNumber == number;
  }

  private void checkOwnProbe(long nowNanos) {
    long timeoutNanos = localHealth.scale(context.timings().probeTimeoutNanos());
    long elapsedNanos = nowNanos - sentAtNanos;
    if (state != State.IDLE && !target.isPresent()) {
      transitionTo(State.IDLE);
    } else if (state == State.DIRECT && elapsedNanos >= timeoutNanos) {
      transitionTo(State.INDIRECT);
      sendIndirectProbes();
    } else if (state == State.INDIRECT && elapsedNanos >= TIMEOUTS_UNTIL_FAILED * timeoutNanos) {
      transitionTo(State.IDLE);
      if (missingNacks > 0) {
        localHealth.worsen(); // A missing NACK suggests that this process receives no datagrams.
      }
      merger.declare(target, MemberStatus.SUSPECTED, nowNanos);
    }
  }

  private void sendIndirectProbes() {
    for (int probe = 0; probe < INDIRECT_PROBES; probe++) {
      context
          .table()
          .randomMember(
              context.random(), entry -> entry != target && entry.status() == MemberStatus.ALIVE)
          .ifPresent(
              entry -> {
                missingNacks++;
                context.sender().sendIndirectProbe(entry.update, probeNumber, target.update.name());
              });
    }
  }

  private List<RelayedProbe> removeExpiredRelayedProbes(long nowNanos) {
    List<RelayedProbe> expired = new ArrayList<>();
    relayedProbes
        .values()
        .removeIf(
            probe -> {
              boolean isExpired = nowNanos > probe.deadlineNanos;
              if (isExpired) {
                expired.add(probe);
              }
              return isExpired;
            });
    return expired;
  }

  private void sendPing(MemberEntry entry, long number) {
    context.sender().send(entry.update, Kind.PING, number, context.gossip().updatesFor(entry));
  }
}
