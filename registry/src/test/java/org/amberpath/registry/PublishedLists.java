package org.amberpath.registry;

import java.util.List;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;

/**
 * Records what a view publishes as text: a list in brackets, a full one after an equals sign, with
 * each endpoint's id and a sign for its state (+ up, ~ draining, - removed); and purges with their
 * time in milliseconds since a start.
 */
final class PublishedLists implements EndpointListener {
  private final List<String> published;
  private final long startMillis;
  private StringBuilder list;

  PublishedLists(List<String> published, long startMillis) {
    this.published = published;
    this.startMillis = startMillis;
  }

  @Override
  public void endpointListStarted(EndpointListKind kind) {
    list = new StringBuilder(kind == EndpointListKind.FULL ? "=[" : "[");
  }

  @Override
  public void endpointListed(ListedEndpoint endpoint) {
    list.append(endpoint.id())
        .append(
            endpoint.state() == EndpointState.UP
                ? '+'
                : endpoint.state() == EndpointState.DRAINING ? '~' : '-');
  }

  @Override
  public void endpointListCompleted() {
    published.add(list + "]");
  }

  @Override
  public void objectPurged(long object, int group, long atMillis) {
    published.add("purged " + object + "/" + group + " " + (atMillis - startMillis));
  }
}
