package org.amberpath.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * Probes one member a period: directly, and if no answer comes in time, by way of {@value #HELPERS}
 * other members. A member that answers neither way is suspected. Does the same on behalf of others.
 *
 * <p>Bounds: one own probe at a time, {@value #MAX_RELAYED} for others.
 */
final class FailureDetector {
  private static final int HELPERS = 3;
  private static final int MAX_RELAYED = 64;

  /** A probe fails after so many answer timeouts, the first of them for the direct way. */
  private static final int FAILED_AFTER_TIMEOUTS = 3;

  /** How far the own probe is. */
  private enum State {
    /** No probe runs. */
    IDLE,
    /** The member itself was sent a ping. */
    DIRECT,
    /** The direct answer is late; other members were asked for help. */
    INDIRECT
  }

  /** A probe for another member: who asked, under which number, and until when it may answer. */
  private record Relayed(MemberUpdate requester, long requestNumber, long deadlineNanos) {}

  private final SwimContext context;
  private final LocalHealth localHealth;
  private final ProbeOrder order;
  private final UpdateMerger merger;

  /** Probes for others, by this process's own request number. */
  private final Map<Long, Relayed> relayed = new LinkedHashMap<>();

  private long nextProbeNanos;
  private State state = State.IDLE;
  private MemberEntry target;
  private long requestNumber;
  private long sentAtNanos;

  /** How many of the members that were asked for help have not said that they got no answer. */
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

  /** Takes the answer to an own probe or to one for another member. */
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

  /** Takes a helper's message that it got no answer: the way to the helper works. */
  void nackReceived(long answeredNumber) {
    if (isCurrent(answeredNumber)) {
      silentHelpers = Math.max(0, silentHelpers - 1);
    }
  }

  /** Probes a member on another's behalf. */
  void relay(MemberEntry requester, GossipMessage request, long nowNanos) {
    Optional<MemberEntry> asked = context.table().find(request.subject());
    if (asked.isPresent() && relayed.size() < MAX_RELAYED) {
      long deadline = nowNanos + context.timings().probeTimeoutNanos();
      long own = context.sender().nextProbeNumber();
      relayed.put(own, new Relayed(requester.update, request.probeNumber(), deadline));
      ping(asked.get(), own);
    }
  }

  /** After a standstill: what was not heard proves nothing. */
  void reset() {
    enter(State.IDLE);
    relayed.clear();
  }

  /** Goes on with the own probe if its time is over, and ends those for others. */
  void checkTimeouts(long nowNanos) {
    checkOwnProbe(nowNanos);
    for (Relayed late : takeLate(nowNanos)) {
      context.sender().send(late.requester, Kind.NACK, late.requestNumber, List.of());
    }
  }

  /** Probes the next member if it is time and no probe runs. */
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

  /** The one place where the state changes: a probe goes from direct to indirect, and ends. */
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
        localHealth.worsen(); // It may be this process that hears nothing.
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
