package org.amberpath.gateway.testsupport;

import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RoutingEventHandler;

/** Forwards all events to another handler; base class for handlers that intercept some of them. */
public class ForwardingEventHandler implements RoutingEventHandler {
  private final RoutingEventHandler delegate;

  /** Creates a handler that forwards to the given one. */
  public ForwardingEventHandler(RoutingEventHandler delegate) {
    this.delegate = delegate;
  }

  @Override
  public void endpointListStarted(EndpointListKind kind) {
    delegate.endpointListStarted(kind);
  }

  @Override
  public void endpointListed(EndpointDescription endpoint) {
    delegate.endpointListed(endpoint);
  }

  @Override
  public void endpointListCompleted() {
    delegate.endpointListCompleted();
  }

  @Override
  public void requestReceived(RequestDetails request) {
    delegate.requestReceived(request);
  }

  @Override
  public void responseStarted(long requestId, int attempt) {
    delegate.responseStarted(requestId, attempt);
  }

  @Override
  public void attemptEnded(AttemptResult result) {
    delegate.attemptEnded(result);
  }

  @Override
  public void clientDisconnected(long requestId) {
    delegate.clientDisconnected(requestId);
  }

  @Override
  public void objectPurged(long object, int group, long ageNanos) {
    delegate.objectPurged(object, group, ageNanos);
  }

  @Override
  public void timerFired(String handle) {
    delegate.timerFired(handle);
  }

  @Override
  public void gatewayShareChanged(int gateways, double share) {
    delegate.gatewayShareChanged(gateways, share);
  }

  @Override
  public void healthChecksDelegated(boolean delegated) {
    delegate.healthChecksDelegated(delegated);
  }

  @Override
  public void healthReported(int endpoint, boolean responded, long ageNanos) {
    delegate.healthReported(endpoint, responded, ageNanos);
  }

  @Override
  public void syntheticRequestReceived(RequestDetails request, int endpoint) {
    delegate.syntheticRequestReceived(request, endpoint);
  }
}
