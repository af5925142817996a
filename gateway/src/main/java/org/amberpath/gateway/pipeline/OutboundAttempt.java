package org.amberpath.gateway.pipeline;

import io.vertx.core.buffer.Buffer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.amberpath.gateway.cache.CacheCommand;
import org.amberpath.gateway.cache.CachePool;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.ResponseDetail;

/**
 * One attempt of a request at one endpoint, from the router's decision to its outcome. Each attempt
 * ends exactly once.
 */
final class OutboundAttempt extends CacheCommand {
  private static final Logger LOG = Logger.getLogger(OutboundAttempt.class.getName());

  /** Receives the outcome of each attempt. */
  interface Listener {
    /**
     * Called once for each attempt, when it has ended.
     *
     * @param detail how the endpoint served the request; NONE where it did not respond
     * @param body the body that the endpoint returned; null for an outcome without a body, and
     *     where the client's own copy is current
     */
    void attemptEnded(
        OutboundAttempt attempt, AttemptOutcome outcome, ResponseDetail detail, Buffer body);
  }

  /**
   * The properties of an attempt that are fixed when it is made.
   *
   * @param request the request that the attempt belongs to
   * @param index the index of the attempt among those of its request, from 0
   * @param endpoint the index of the endpoint that the attempt goes to
   * @param source the index of the endpoint that a miss is filled from
   * @param startedAtNanos the clock time at which the attempt was made
   * @param lagAtStartNanos the event loop's total lag at that time
   * @param deadlineNanos the clock time at which the attempt times out
   * @param cacheable whether responses of the request's traffic class may be cached
   */
  record Plan(
      ClientRequest request,
      int index,
      int endpoint,
      int source,
      long startedAtNanos,
      long lagAtStartNanos,
      long deadlineNanos,
      boolean cacheable) {}

  final Plan plan;

  /** The id of the timeout's timer; -1 before it is set. */
  long timeoutTimer = -1;

  private final CachePool pool;
  private final Listener listener;
  private final long sendByNanos;
  private boolean hasEnded;

  OutboundAttempt(Plan plan, byte[] fields, CachePool pool, Listener listener) {
    super(
        plan.request.decoded.requestId().array(),
        fields,
        plan.request.decoded.knownTag().array(),
        plan.request.decoded.body().array(),
        plan.deadlineNanos,
        plan.request.attempts);
    this.plan = plan;
    this.pool = pool;
    this.listener = listener;
    sendByNanos = plan.request.sendByNanos;
  }

  /** Sends the attempt, now or as soon as a connection is available. */
  void send() {
    try {
      pool.send(this);
    } catch (RuntimeException e) {
      // Guards against an attempt that is neither sent nor ended, for which its request would wait.
      LOG.log(
          Level.SEVERE, description() + " could not be sent to " + pool + "; the attempt ends", e);
      abandon(isWritten() ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.NOT_SENT, false);
    }
  }

  /** Ends the attempt, because its deadline has passed. */
  void timeOut() {
    abandon(isWritten() ? AttemptOutcome.TIMED_OUT : pool.unsentOutcome(), true);
  }

  /** Ends the attempt, because the router has cancelled it. */
  void cancel() {
    abandon(AttemptOutcome.CANCELLED, false);
  }

  /** Ends the attempt as not sent, without passing it to the connection pool. */
  void endUnsent() {
    onEnded(AttemptOutcome.NOT_SENT, ResponseDetail.NONE, null);
  }

  private void abandon(AttemptOutcome outcome, boolean timedOut) {
    if (!hasEnded) {
      try {
        if (timedOut) {
          pool.timeOut(this);
        } else {
          pool.cancel(this);
        }
      } catch (RuntimeException e) {
        LOG.log(
            Level.SEVERE,
            description()
                + " could not be cancelled at "
                + pool
                + "; the attempt ends as "
                + outcome,
            e);
      }
      onEnded(outcome, ResponseDetail.NONE, null);
    }
  }

  /**
   * Returns whether a purge affects the object of this attempt.
   *
   * @param objectId the purged object; 0 for a purge of an entire group
   * @param group the purge group, or {@link EndpointListener#ALL_GROUPS}
   */
  boolean isPurged(long objectId, int group) {
    if (group == EndpointListener.ALL_GROUPS) {
      return true;
    }
    return objectId != 0
        ? objectId == plan.request.decoded.objectId()
        : group == plan.request.decoded.purgeGroup();
  }

  private String description() {
    return "request " + plan.request.requestId + ": attempt " + plan.index;
  }

  @Override
  protected boolean expectsCopy() {
    return plan.cacheable;
  }

  @Override
  protected boolean isExpired(long nowNanos) {
    return plan.request.answered || nowNanos > sendByNanos || nowNanos >= plan.deadlineNanos;
  }

  @Override
  protected void onEnded(AttemptOutcome outcome, ResponseDetail detail, Buffer body) {
    if (!hasEnded) {
      hasEnded = true;
      listener.attemptEnded(this, outcome, detail, body);
    }
  }
}
