package org.amberpath.membership;

import java.util.List;
import java.util.Optional;
import org.amberpath.membership.GossipMessage.Kind;

/**
 * Dispatches a received message: merges the sender's update about itself and the piggybacked
 * updates, then passes the message to the handler of its kind. Requests are answered within the
 * bounds of {@link ResponseRateLimiter}.
 */
final class MessageDispatcher {
  private final SwimContext context;
  private final UpdateMerger merger;
  private final FailureDetector detector;
  private final AntiEntropySync antiEntropy;
  private final NameConflictDetector conflicts;
  private final ResponseRateLimiter responses;

  MessageDispatcher(
      SwimContext context,
      UpdateMerger merger,
      FailureDetector detector,
      AntiEntropySync antiEntropy,
      NameConflictDetector conflicts,
      ResponseRateLimiter responses) {
    this.context = context;
    this.merger = merger;
    this.detector = detector;
    this.antiEntropy = antiEntropy;
    this.conflicts = conflicts;
    this.responses = responses;
  }

  /**
   * Processes a message.
   *
   * @return whether its sender is in the member table afterwards
   */
  boolean receive(GossipMessage message, long nowNanos) {
    MemberUpdate sender = message.sender();
    if (sender.name().equals(context.local().name())) {
      conflicts.ownNameUsedBy(sender);
      return false;
    }
    responses.advance(nowNanos);
    boolean tableWasEmpty = context.table().isEmpty();
    merger.merge(sender, nowNanos);
    message.updates().forEach(update -> merger.merge(update, nowNanos));
    Optional<MemberEntry> senderEntry = context.table().find(sender.name());
    if (senderEntry.isEmpty()) {
      return false; // The table is full, or the sender's incarnation is too far in the future.
    }
    MemberEntry entry = senderEntry.get();
    if (tableWasEmpty) {
      antiEntropy.firstMemberAdded(nowNanos);
    }
    entry.reportedCountedDigest = message.countedDigest();
    antiEntropy.compareDigest(message);
    boolean permitted = isAnswer(message.kind()) || responses.tryAcquire(entry, nowNanos);
    if (entry.update.instanceId() != sender.instanceId() && responses.tryAcquire(entry, nowNanos)) {
      // Guards against a restarted member that all others ignore because its clock went back and
      // its incarnation is lower than before: it is sent its table entry, which it supersedes.
      context.sender().send(sender, Kind.NACK, 0, List.of(entry.update));
    }
    if (permitted) {
      handle(entry, message, nowNanos);
    }
    return true;
  }

  private static boolean isAnswer(Kind kind) {
    return kind == Kind.ACK || kind == Kind.NACK || kind == Kind.PAGE;
  }

  private void handle(MemberEntry entry, GossipMessage message, long nowNanos) {
    switch (message.kind()) {
      case PING ->
          context
              .sender()
              .send(
                  message.sender(),
                  Kind.ACK,
                  message.probeNumber(),
                  context.gossip().updatesFor(entry));
      case ASK -> detector.relayProbe(entry, message, nowNanos);
      case ACK -> detector.ackReceived(message.probeNumber());
      case NACK -> detector.nackReceived(message.probeNumber());
      case SYNC -> antiEntropy.sendRequestedPage(message);
      case PAGE -> antiEntropy.pageReceived(message, nowNanos);
      default -> throw new AssertionError("unhandled message kind: " + message.kind());
    }
  }
}
