package org.amberpath.registry;

import java.util.function.Consumer;
import org.amberpath.registry.WatchSession.Header;

/**
 * Decides by the verdicts of {@link RevisionAuditor} whether the session may use a response, and
 * starts a new history of revisions if the registry was restored or replaced. Times are
 * nanoseconds.
 */
final class AnswerValidator {
  private final RevisionAuditor auditor;
  private final WatchResync resync;
  private final HeartbeatMonitor heartbeats;
  private final WatchStream watches;
  private final OpenCalls calls;
  private final Consumer<String> log;
  private long lastAnswerAtNanos;

  AnswerValidator(
      RevisionAuditor auditor,
      WatchResync resync,
      HeartbeatMonitor heartbeats,
      WatchStream watches,
      OpenCalls calls,
      Consumer<String> log) {
    this.auditor = auditor;
    this.resync = resync;
    this.heartbeats = heartbeats;
    this.watches = watches;
    this.calls = calls;
    this.log = log;
  }

  void start(long nowNanos) {
    lastAnswerAtNanos = nowNanos;
    auditor.start(nowNanos);
  }

  /** When any endpoint last returned a response that is not a failure. */
  long lastAnswerAtNanos() {
    return lastAnswerAtNanos;
  }

  /** Records a response that is not a failure. */
  void recordAnswer(long nowNanos, RegistryEndpoint endpoint) {
    lastAnswerAtNanos = nowNanos;
    endpoint.recordAnswer(nowNanos);
  }

  /**
   * Records the response's endpoint as in contact, and returns whether the response is from the
   * cluster that the view holds. A response from another cluster either starts a new history or, if
   * only this endpoint belongs to that cluster, makes the endpoint back off.
   */
  boolean isFromOwnCluster(long nowNanos, RegistryCall call, Header header) {
    recordAnswer(nowNanos, call.endpoint);
    switch (auditor.auditCluster(nowNanos, call.endpoint, header)) {
      case SAME -> {
        return true;
      }
      case REPLACED ->
          startNewHistory("the registry now has cluster id '" + header.cluster() + "'");
      case FOREIGN -> {
        log.accept(
            "endpoint "
                + call.endpoint.index
                + ": response discarded, it has the id of another cluster: '"
                + header.cluster()
                + "'");
        call.endpoint.requestBackoff.recordFailure(nowNanos, WatchStream.MAX_LAG_NANOS);
      }
      default -> throw new IllegalStateException("unknown verdict of the cluster audit");
    }
    return false;
  }

  /**
   * Returns whether a response's revision is not older than what the view held when the call was
   * sent. The first older one requests another heartbeat as confirmation; the second one starts a
   * new history.
   *
   * @param revision the newest revision; 0 if the response has none
   * @param tipRevision the tip's revision; negative if the response has none
   */
  boolean continuesHistory(long nowNanos, RegistryCall call, long revision, long tipRevision) {
    switch (auditor.auditRevision(nowNanos, call, revision, tipRevision)) {
      case CONTINUES -> {
        return true;
      }
      case UNCONFIRMED -> heartbeats.sendAtOnce(nowNanos);
      case WENT_BACK ->
          startNewHistory("revisions went back from " + call.viewRevision + " to " + revision);
      case IGNORED -> {
        // The response to a call that was sent later decides.
      }
      default -> throw new IllegalStateException("unknown verdict of the revision audit");
    }
    return false;
  }

  private void startNewHistory(String reason) {
    if (!resync.isNewHistory()) {
      log.accept(reason + "; requesting all keys again");
    }
    resync.require(WatchResync.Scope.NEW_HISTORY);
    heartbeats.forgetTip();
    watches.cancelAll();
    calls.list().ifPresent(calls::cancel);
  }
}
