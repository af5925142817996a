package org.amberpath.gateway.testsupport;

import org.amberpath.routing.AttemptResult;
import org.amberpath.routing.EndpointDescription;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.RequestDetails;
import org.amberpath.routing.RoutingEventHandler;

/** Forwards all events to another handler; base class for handlers that intercept some of them. */
public class ForwardingEventHandler implements RoutingEventHandler {
  private final RoutingEventHandler to;

  /** Creates a handler that forwards to the given one. */
  public ForwardingEventHandler(RoutingEventHandler to) {
    this.to = to;
  }

  @Override
  public void endpointListStarted(EndpointListKind what) {
    to.endpointListStarted(what);
  }

  @Override
  public void endpointListed(EndpointDescription endpoint) {
    to.endpointListed(endpoint);
  }

  @Override
  public void endpointListCompleted() {
    to.endpointListCompleted();
  }

  @Override
  public void requestReceived(RequestDetails request) {
    to.requestReceived(request);
  }

  @Override
  public void responseStarted(long id, int copy) {
    to.responseStarted(id, copy);
  }

  @Override
  public void attemptEnded(AttemptResult result) {
    to.attemptEnded(result);
  }

  @Override
  public void clientDisconnected(long id) {
    to.clientDisconnected(id);
  }

  @Override
  public void objectPurged(long object, int group, long ago) {
    to.objectPurged(object, group, ago);
  }

  @Override
  public void timerFired(String handle) {
    to.timerFired(handle);
  }

  @Override
  public void gatewayShareChanged(int gateways, double share) {
    to.gatewayShareChanged(gateways, share);
  }

  @Override
  public void healthChecksDelegated(boolean forAll) {
    to.healthChecksDelegated(forAll);
  }

  @Override
  public void healthReported(int cache, boolean answers, long ago) {
    to.healthReported(cache, answers, ago);
  }

  @Override
  public void syntheticRequestReceived(RequestDetails request, int endpoint) {
    to.syntheticRequestReceived(request, endpoint);
  }
}
