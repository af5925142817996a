package org.amberpath.registry;

import org.amberpath.registry.WatchSession.Header;

/**
 * Checks the cluster id and the revision of responses, to distinguish a registry that was restored
 * from a backup or replaced by another one from an endpoint that lags. Times are nanoseconds.
 */
final class RevisionAuditor {
  /** Result of the check of a response's cluster id. */
  enum ClusterVerdict {
    /** The response is from the cluster that the view holds. */
    SAME,
    /** The cluster that the view holds no longer exists. */
    REPLACED,
    /** This endpoint belongs to another cluster than most others. */
    FOREIGN
  }

  /** Result of the check of a response's revision. */
  enum RevisionVerdict {
    /** The revision is not older than what the view held when the call was sent. */
    CONTINUES,
    /** The revision went back for the first time; another response must confirm it. */
    UNCONFIRMED,
    /**
     * The revision went back, in the response to a call that was sent before the regression was
     * noticed.
     */
    IGNORED,
    /** The revision went back twice: a new history of revisions has begun. */
    WENT_BACK
  }

  private final RegistryEndpointSelector endpoints;
  private final RegistryView view;
  private final WatchResync resync;
  private long ownClusterSeenAtNanos;
  private boolean isRegressionSuspected;
  private long regressionNoticedAtNanos;

  RevisionAuditor(RegistryEndpointSelector endpoints, RegistryView view, WatchResync resync) {
    this.endpoints = endpoints;
    this.view = view;
    this.resync = resync;
  }

  void start(long nowNanos) {
    ownClusterSeenAtNanos = nowNanos;
  }

  /** Checks the cluster id of an endpoint's response. */
  ClusterVerdict auditCluster(long nowNanos, RegistryEndpoint endpoint, Header header) {
    endpoint.clusterId = header.cluster();
    if (!view.hasData()
        || resync.isNewHistory()
        || view.clusterId().isEmpty()
        || header.cluster().equals(view.clusterId())) {
      ownClusterSeenAtNanos = nowNanos;
      return ClusterVerdict.SAME;
    }
    return endpoints.isClusterOfMajority(header.cluster())
            || nowNanos - ownClusterSeenAtNanos > RegistryEndpoint.CONTACT_LOST_NANOS
        ? ClusterVerdict.REPLACED
        : ClusterVerdict.FOREIGN;
  }

  /**
   * Checks the revision of a linearizable response.
   *
   * @param revision the newest revision; 0 if the response has none
   * @param tipRevision the tip's revision; negative if the response has none
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
