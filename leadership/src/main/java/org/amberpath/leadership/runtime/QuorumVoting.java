package org.amberpath.leadership.runtime;

import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.logging.Logger;
import org.amberpath.leadership.CandidateOrder;
import org.amberpath.leadership.Leadership;
import org.amberpath.leadership.LeaseAcceptor;
import org.amberpath.leadership.LeaseMessage;
import org.amberpath.leadership.LeaseTimings;
import org.amberpath.leadership.QuorumLeadership;
import org.amberpath.leadership.VoterConfiguration;
import org.amberpath.membership.runtime.MembershipService;

/**
 * Leader election by a quorum of voters: exchanges lease messages between candidates and voters
 * over membership's messages, and votes if this gateway is a voter.
 */
final class QuorumVoting {
  private static final Logger LOG = Logger.getLogger(LeadershipService.class.getName());

  private final Vertx vertx;
  private final MembershipService membership;
  private final LeaseTimings timings;
  private final Supplier<VoterConfiguration> reloadVoters;

  /** Receives a task's name after the task's candidate has processed a voter's answer. */
  private final Consumer<String> candidateListener;

  private final Map<String, QuorumLeadership> candidates = new LinkedHashMap<>();
  private VoterConfiguration voters;

  /** Null while this gateway is not a voter. */
  private LeaseAcceptor acceptor;

  QuorumVoting(
      Vertx vertx,
      MembershipService membership,
      LeadershipSettings settings,
      Consumer<String> candidateListener,
      long nowNanos) {
    this.vertx = vertx;
    this.membership = membership;
    this.candidateListener = candidateListener;
    timings = settings.timings();
    reloadVoters = settings.reloadVoters();
    voters = settings.voters();
    updateAcceptor(nowNanos);
  }

  private void updateAcceptor(long nowNanos) {
    if (!voters.allVoters().contains(membership.name())) {
      acceptor = null;
    } else if (acceptor == null) {
      acceptor = new LeaseAcceptor(timings, nowNanos);
    }
  }

  /** Creates the leadership of a task, for which this gateway is a candidate from now on. */
  Leadership leadership(String task, long nowNanos) {
    QuorumLeadership candidate =
        new QuorumLeadership(timings, task, voters, this::send, membership.seed(), nowNanos);
    candidates.put(task, candidate);
    return candidate;
  }

  boolean isVoter() {
    return acceptor != null;
  }

  Set<String> voterNames() {
    return voters.allVoters();
  }

  /**
   * Passes the wall clock and this gateway's place among the gateways present to a task's
   * candidate. Called before each tick of the task.
   */
  void updateCandidate(String task) {
    QuorumLeadership candidate = candidates.get(task);
    candidate.wallClockRead(System.currentTimeMillis());
    candidate.updatePosition(
        CandidateOrder.position(task, membership.name(), membership.presentNames()));
  }

  private void send(String recipient, LeaseMessage message) {
    if (recipient.equals(membership.name())) {
      // Messages to this gateway's own voter and candidate arrive asynchronously too, in
      // a later turn of the event loop.
      vertx.runOnContext(turn -> messageReceived(membership.nowNanos(), recipient, message));
    } else {
      membership.sendMessage(recipient, LeaseMessageCodec.encode(message));
    }
  }

  /** Handles a lease message to this gateway's voter or to its candidate. */
  void messageReceived(long nowNanos, String from, LeaseMessage message) {
    switch (message.kind()) {
      case PREPARE, PROPOSE, RELEASE -> {
        LeaseMessage answer =
            acceptor == null ? null : acceptor.messageReceived(nowNanos, from, message);
        if (answer != null) {
          send(from, answer);
        }
      }
      default -> {
        QuorumLeadership candidate = candidates.get(message.task());
        if (candidate != null) {
          candidate.responseReceived(nowNanos, from, message);
          candidateListener.accept(message.task());
        }
      }
    }
  }

  /**
   * Reads the configured voters again. The voters stay unchanged if that fails, or if the new
   * configuration is not an adjacent stage of the current one.
   */
  void reload() {
    vertx
        .executeBlocking(reloadVoters::get)
        .onSuccess(this::votersReloaded)
        .onFailure(
            e ->
                LOG.warning(
                    membership.name()
                        + ": leadership: voters unchanged, reading the settings failed error="
                        + e.getMessage()));
  }

  private void votersReloaded(VoterConfiguration next) {
    if (next.equals(voters)) {
      return;
    }
    if (!next.isAdjacentTo(voters)) {
      LOG.warning(
          membership.name()
              + ": leadership: voters unchanged, the configured change skips a stage voters="
              + voters.current()
              + " next="
              + voters.next()
              + " configured="
              + next.current()
              + " configured_next="
              + next.next()
              + " (a list is replaced in two reloads: first it is added as next-voters)");
      return;
    }
    voters = next;
    updateAcceptor(membership.nowNanos());
    candidates.values().forEach(candidate -> candidate.updateVoters(next));
    LOG.info(
        membership.name()
            + ": leadership: voters changed voters="
            + next.current()
            + " next="
            + next.next());
  }
}
