package org.amberpath.gateway.pipeline;

import io.vertx.core.buffer.Buffer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.amberpath.gateway.cache.CacheCommand;
import org.amberpath.gateway.cache.CachePool;
import org.amberpath.routing.AttemptOutcome;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.ResponseDetail;

/** One attempt of a request at one endpoint, from the decision to its one outcome. */
final class OutboundAttempt extends CacheCommand {
  private static final Logger LOG = Logger.getLogger(OutboundAttempt.class.getName());

  /** Is notified of the end of each attempt. */
  interface Listener {
    /**
     * An attempt has ended; called once for each.
     *
     * @param body null unless the endpoint returned the bytes; null too where the client's own copy
     *     is current
     */
    void attemptEnded(
        OutboundAttempt attempt, AttemptOutcome outcome, ResponseDetail note, Buffer body);
  }

  /**
   * What is fixed when an attempt is made.
   *
   * @param request the request it belongs to
   * @param index its index among the request's attempts
   * @param endpoint the index of its endpoint
   * @param source the index of the endpoint that a miss is filled from
   * @param startedAtNanos the clock time at which it was made
   * @param lagBeforeNanos the event loop's total lag at that time
   * @param deadlineNanos the clock time at which it times out
   * @param cacheable whether responses of the request's traffic class may be cached
   */
  record Plan(
      ClientRequest request,
      int index,
      int endpoint,
      int source,
      long startedAtNanos,
      long lagBeforeNanos,
      long deadlineNanos,
      boolean cacheable) {}

  final Plan plan;

  /** Its timeout; -1 before that is set. */
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

  /** Sends it, now or as soon as a connection is free. */
  void send() {
    try {
      pool.send(this);
    } catch (RuntimeException e) {
      // Guards the request against an attempt that is neither sent nor ended.
      LOG.log(Level.SEVERE, "an attempt could not be sent", e);
      abandon(isWritten() ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.NOT_SENT, false);
    }
  }

  /** Its deadline has passed. */
  void timeOut() {
    abandon(isWritten() ? AttemptOutcome.TIMED_OUT : pool.unsentOutcome(), true);
  }

  /** The router cancels it. */
  void cancel() {
    abandon(AttemptOutcome.CANCELLED, false);
  }

  /** It is not sent at all. */
  void skip() {
    ended(AttemptOutcome.NOT_SENT, ResponseDetail.NONE, null);
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
        LOG.log(Level.SEVERE, "an attempt could not be cancelled", e);
      }
      ended(outcome, ResponseDetail.NONE, null);
    }
  }

  /** Whether a purge affects it. */
  boolean isPurged(long objectId, int group) {
    if (group == EndpointListener.ALL_GROUPS) {
      return true;
    }
    return objectId != 0
        ? objectId == plan.request.decoded.objectId()
        : group == plan.request.decoded.purgeGroup();
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
  protected void ended(AttemptOutcome outcome, ResponseDetail note, Buffer body) {
    if (!hasEnded) {
      hasEnded = true;
      listener.attemptEnded(this, outcome, note, body);
    }
  }
}
