package org.amberpath.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * The SWIM failure detector. Probes one member per probe interval with a ping. If the ping is not
 * acknowledged within the probe timeout, asks up to {@value #HELPERS} other members to probe the
 * target (SWIM's ping-req). A target that acknowledges neither the direct nor an indirect probe is
 * suspected. Also relays probes that other members request.
 *
 * <p>Bounds: one probe of its own at a time, {@value #MAX_RELAYED} relayed probes.
 */
final class FailureDetector {
  private static final int HELPERS = 3;
  private static final int MAX_RELAYED = 64;

  /**
   * A probe fails after this many probe timeouts: one for the direct probe, the others for the
   * indirect probes.
   */
  private static final int FAILED_AFTER_TIMEOUTS = 3;

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
  private record Relayed(MemberUpdate requester, long requestNumber, long deadlineNanos) {}

  private final SwimContext context;
  private final LocalHealth localHealth;
  private final ProbeOrder order;
  private final UpdateMerger merger;

  /** Relayed probes, by the probe number of this process's ping to the target. */
  private final Map<Long, Relayed> relayed = new LinkedHashMap<>();

  private long nextProbeNanos;
  private State state = State.IDLE;
  private MemberEntry target;
  private long requestNumber;
  private long sentAtNanos;

  /**
   * How many members that were asked for an indirect probe have not yet reported with a {@link
   * Kind#NACK} that the target did not answer them.
   */
  private int silentHelpers;

  FailureDetector(
      SwimContext context,
      LocalHealth localHealth,
      ProbeOrder order,
      UpdateMerger merger,
      long firstProbeNanos) {
    this.context = context;
    this.localHealth = localHealth;
    this.order = order;
    this.merger = merger;
    nextProbeNanos = firstProbeNanos;
  }

  /**
   * Processes an acknowledgement: ends this process's own probe, or forwards the acknowledgement to
   * the member that requested a relayed probe.
   */
  void ackReceived(long answeredNumber) {
    if (isCurrent(answeredNumber)) {
      enter(State.IDLE);
      localHealth.improve();
    }
    Relayed done = relayed.remove(answeredNumber);
    if (done != null) {
      context.sender().send(done.requester, Kind.ACK, done.requestNumber, List.of());
    }
  }

  /**
   * Processes a report that an indirect probe was not answered. The report shows that this process
   * still receives datagrams from the reporting member.
   */
  void nackReceived(long answeredNumber) {
    if (isCurrent(answeredNumber)) {
      silentHelpers = Math.max(0, silentHelpers - 1);
    }
  }

  /**
   * Probes the requested member on behalf of the requester. The request is ignored if that member
   * is unknown or {@value #MAX_RELAYED} relayed probes are in progress.
   */
  void relay(MemberEntry requester, GossipMessage request, long nowNanos) {
    Optional<MemberEntry> asked = context.table().find(request.subject());
    if (asked.isPresent() && relayed.size() < MAX_RELAYED) {
      long deadline = nowNanos + context.timings().probeTimeoutNanos();
      long own = context.sender().nextProbeNumber();
      relayed.put(own, new Relayed(requester.update, request.probeNumber(), deadline));
      ping(asked.get(), own);
    }
  }

  /**
   * Called after this process was paused: cancels all probes, because a paused process could not
   * receive their answers.
   */
  void reset() {
    enter(State.IDLE);
    relayed.clear();
  }

  /**
   * Advances this process's own probe when its timeout has passed, and reports expired relayed
   * probes to their requesters with a {@link Kind#NACK}.
   */
  void checkTimeouts(long nowNanos) {
    checkOwnProbe(nowNanos);
    for (Relayed late : takeLate(nowNanos)) {
      context.sender().send(late.requester, Kind.NACK, late.requestNumber, List.of());
    }
  }

  /** Probes the next member in the probe order when a probe is due and none is in progress. */
  void probeIfDue(long nowNanos) {
    if (state != State.IDLE || nowNanos < nextProbeNanos) {
      return;
    }
    nextProbeNanos = nowNanos + context.timings().probeIntervalNanos();
    order
        .next()
        .ifPresent(
            next -> {
              target = next;
              requestNumber = context.sender().nextProbeNumber();
              sentAtNanos = nowNanos;
              silentHelpers = 0;
              enter(State.DIRECT);
              ping(next, requestNumber);
            });
  }

  /** Changes the state; the only method that does. A probe becomes indirect only from direct. */
  private void enter(State next) {
    if (next == State.INDIRECT && state != State.DIRECT) {
      throw new IllegalStateException(state + " to " + next);
    }
    state = next;
  }

  private boolean isCurrent(long number) {
    return state != State.IDLE && requestNumber == number;
  }

  private void checkOwnProbe(long nowNanos) {
    long timeoutNanos = localHealth.scale(context.timings().probeTimeoutNanos());
    long waitedNanos = nowNanos - sentAtNanos;
    if (state != State.IDLE && !target.isPresent()) {
      enter(State.IDLE);
    } else if (state == State.DIRECT && waitedNanos >= timeoutNanos) {
      enter(State.INDIRECT);
      askHelpers();
    } else if (state == State.INDIRECT && waitedNanos >= FAILED_AFTER_TIMEOUTS * timeoutNanos) {
      enter(State.IDLE);
      if (silentHelpers > 0) {
        localHealth.worsen(); // A missing NACK suggests that this process receives no datagrams.
      }
      merger.declare(target, MemberStatus.SUSPECTED, nowNanos);
    }
  }

  private void askHelpers() {
    for (int helper = 0; helper < HELPERS; helper++) {
      context
          .table()
          .any(context.random(), entry -> entry != target && entry.status() == MemberStatus.ALIVE)
          .ifPresent(
              entry -> {
                silentHelpers++;
                context
                    .sender()
                    .sendIndirectProbe(entry.update, requestNumber, target.update.name());
              });
    }
  }

  private List<Relayed> takeLate(long nowNanos) {
    List<Relayed> late = new ArrayList<>();
    relayed
        .values()
        .removeIf(
            probe -> {
              boolean over = nowNanos > probe.deadlineNanos;
              if (over) {
                late.add(probe);
              }
              return over;
            });
    return late;
  }

  private void ping(MemberEntry entry, long number) {
    context.sender().send(entry.update, Kind.PING, number, context.gossip().updatesFor(entry));
  }
}
