package org.amberpath.registry;

import org.amberpath.registry.WatchSession.Header;

/**
 * Audits the cluster id and the revision of answers, so that a registry which was restored from a
 * backup, or replaced by another one, is told apart from an endpoint which lags. Times are
 * nanoseconds.
 */
final class RevisionAuditor {
  /** What the cluster id of an answer shows. */
  enum ClusterVerdict {
    /** It is the cluster that the view is of. */
    SAME,
    /** The cluster that the view is of is no longer there. */
    REPLACED,
    /** This endpoint belongs to another cluster, unlike most others. */
    FOREIGN
  }

  /** What the revision of an answer shows. */
  enum RevisionVerdict {
    /** It follows what the view held when the call was sent. */
    CONTINUES,
    /** It went back, and is to be asked for once more before that is believed. */
    UNCONFIRMED,
    /** It went back, in an answer to a call from before that was noticed. */
    IGNORED,
    /** It went back twice: revisions were given anew. */
    WENT_BACK
  }

  private final RegistryEndpointSelector endpoints;
  private final RegistryView view;
  private final WatchResync resync;
  private long ownClusterHeardAtNanos;
  private boolean isRegressionSuspected;
  private long regressionNoticedAtNanos;

  RevisionAuditor(RegistryEndpointSelector endpoints, RegistryView view, WatchResync resync) {
    this.endpoints = endpoints;
    this.view = view;
    this.resync = resync;
  }

  void start(long nowNanos) {
    ownClusterHeardAtNanos = nowNanos;
  }

  /** Judges the cluster id of an answer from that endpoint. */
  ClusterVerdict auditCluster(long nowNanos, RegistryEndpoint endpoint, Header header) {
    endpoint.clusterId = header.cluster();
    if (!view.hasData()
        || resync.isNewHistory()
        || view.clusterId().isEmpty()
        || header.cluster().equals(view.clusterId())) {
      ownClusterHeardAtNanos = nowNanos;
      return ClusterVerdict.SAME;
    }
    return endpoints.isMajorityOf(header.cluster())
            || nowNanos - ownClusterHeardAtNanos > RegistryEndpoint.CONTACT_LOST_NANOS
        ? ClusterVerdict.REPLACED
        : ClusterVerdict.FOREIGN;
  }

  /**
   * Judges the revision of an answer that a majority of the registry's servers stands behind.
   *
   * @param revision the newest revision; 0 where the answer has none
   * @param tipRevision the tip's revision; negative where the answer has none
   */
  RevisionVerdict auditRevision(long nowNanos, RegistryCall call, long revision, long tipRevision) {
    boolean isAnswerToLaterCall = call.sentAtNanos >= regressionNoticedAtNanos;
    if ((revision == 0 || revision >= call.viewRevision)
        && (tipRevision < 0 || tipRevision >= call.tipRevision)) {
      if (isAnswerToLaterCall) {
        isRegressionSuspected = false;
      }
      return RevisionVerdict.CONTINUES;
    }
    if (!isRegressionSuspected) {
      isRegressionSuspected = true;
      regressionNoticedAtNanos = nowNanos;
      return RevisionVerdict.UNCONFIRMED;
    }
    if (!isAnswerToLaterCall) {
      return RevisionVerdict.IGNORED;
    }
    isRegressionSuspected = false;
    return RevisionVerdict.WENT_BACK;
  }
}
