package org.amberpath.registry;

import java.util.function.Consumer;
import org.amberpath.registry.WatchSession.Header;

/**
 * Decides which answers a session may use, by the verdicts of {@link RevisionAuditor}, and begins a
 * new history where they show that the registry was restored or replaced. Times are nanoseconds.
 */
final class AnswerValidator {
  private final RevisionAuditor auditor;
  private final WatchResync resync;
  private final HeartbeatMonitor heartbeats;
  private final WatchStream watches;
  private final OpenCalls calls;
  private final Consumer<String> log;
  private long heardAtNanos;

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
    heardAtNanos = nowNanos;
    auditor.start(nowNanos);
  }

  /** When any endpoint last answered with anything but a failure. */
  long heardAtNanos() {
    return heardAtNanos;
  }

  /** An endpoint has answered with anything but a failure. */
  void heard(long nowNanos, RegistryEndpoint endpoint) {
    heardAtNanos = nowNanos;
    endpoint.heard(nowNanos);
  }

  /** Whether an answer is of the cluster that the view is of. */
  boolean isOfOwnCluster(long nowNanos, RegistryCall call, Header header) {
    heard(nowNanos, call.endpoint);
    switch (auditor.auditCluster(nowNanos, call.endpoint, header)) {
      case SAME -> {
        return true;
      }
      case REPLACED -> startNewHistory("the registry is another one");
      case FOREIGN -> {
        log.accept("endpoint " + call.endpoint.index + " is of another registry");
        call.endpoint.requestBackoff.recordFailure(nowNanos, WatchStream.MAX_LAG_NANOS);
      }
      default -> throw new IllegalStateException("unknown result of the cluster audit");
    }
    return false;
  }

  /**
   * Whether an answer's revision follows what was known when the call was sent.
   *
   * @param revision the newest revision; 0 where the answer has none
   * @param tipRevision the tip's revision; negative where the answer has none
   */
  boolean continues(long nowNanos, RegistryCall call, long revision, long tipRevision) {
    switch (auditor.auditRevision(nowNanos, call, revision, tipRevision)) {
      case CONTINUES -> {
        return true;
      }
      case UNCONFIRMED -> heartbeats.sendAtOnce(nowNanos);
      case WENT_BACK ->
          startNewHistory("revisions went back from " + call.viewRevision + " to " + revision);
      case IGNORED -> {
        // A later call decides.
      }
      default -> throw new IllegalStateException("unknown result of the revision audit");
    }
    return false;
  }

  private void startNewHistory(String why) {
    if (!resync.isNewHistory()) {
      log.accept(why + ": all is read anew");
    }
    resync.require(WatchResync.Scope.NEW_HISTORY);
    heartbeats.forgetTip();
    watches.cancelAll();
    calls.list().ifPresent(calls::cancel);
  }
}
