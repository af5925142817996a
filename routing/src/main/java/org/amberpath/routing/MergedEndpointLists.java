package org.amberpath.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Makes one source of news of several that are all believed, while members move from one to
 * another: of what they say of a cache the stricter state holds. A cache that only some know is
 * believed as they tell it; one that any of them had and let go of is gone until it is told there
 * anew, or nobody has it any more.
 *
 * <p>Bounds: as many caches as the sources tell of.
 */
public final class MergedEndpointLists {
  private record Member(
      String address,
      String zone,
      String kind,
      int cell,
      EndpointState state,
      double weight,
      long startedAtMs) {}

  private final EndpointListener to;
  private final List<Port> ports = new ArrayList<>();
  private final Map<String, Member> told = new HashMap<>();
  private boolean first = true;

  public MergedEndpointLists(EndpointListener to) {
    this.to = to;
  }

  /**
   * Another source; of two that agree on a cache's state, what the earlier one says else is taken.
   */
  public EndpointListener addSource() {
    Port port = new Port();
    ports.add(port);
    return port;
  }

  /** What all say together; null where nobody has it. */
  private Member together(String id) {
    Member strictest = null;
    for (Port port : ports) {
      Member one = port.members.get(id);
      if (one != null && (strictest == null || one.state.compareTo(strictest.state) > 0)) {
        strictest = one;
      }
    }
    return strictest;
  }

  private void forget(String id) {
    if (ports.stream()
        .map(port -> port.members.get(id))
        .filter(Objects::nonNull)
        .allMatch(one -> one.state == EndpointState.GONE)) {
      ports.forEach(port -> port.members.remove(id));
    }
  }

  private final class Port implements EndpointListener {
    private final Map<String, Member> members = new HashMap<>();
    private final Set<String> touched = new LinkedHashSet<>();

    @Override
    public void endpointListStarted(EndpointListKind kind) {
      touched.clear();
      if (kind == EndpointListKind.FULL) {
        members.forEach((id, one) -> touched.add(id));
        members.replaceAll((id, one) -> gone(one));
      }
    }

    private Member gone(Member one) {
      return new Member(
          "", one.zone, one.kind, one.cell, EndpointState.GONE, one.weight, one.startedAtMs);
    }

    @Override
    public void endpointListed(ListedEndpoint endpoint) {
      Member before = members.get(endpoint.id());
      if (endpoint.state() != EndpointState.GONE || before != null) {
        String known =
            endpoint.address().isEmpty() && before != null ? before.address : endpoint.address();
        members.put(
            endpoint.id(),
            new Member(
                known,
                endpoint.zone(),
                endpoint.kind(),
                endpoint.cell(),
                endpoint.state(),
                endpoint.weight(),
                endpoint.startedAtMillis()));
        touched.add(endpoint.id());
      }
    }

    @Override
    public void endpointListCompleted() {
      to.endpointListStarted(first ? EndpointListKind.FULL : EndpointListKind.CHANGES);
      first = false;
      for (String id : touched) {
        Member now = together(id), before = told.get(id);
        if (now == null
            || now.equals(before)
            || (now.state == EndpointState.GONE && before == null)) {
          forget(id);
          continue;
        }
        to.endpointListed(
            new ListedEndpoint(
                id,
                now.address,
                now.zone,
                now.kind,
                now.cell,
                now.state,
                now.weight,
                now.startedAtMs));
        if (now.state == EndpointState.GONE) {
          told.remove(id);
        } else {
          told.put(id, now);
        }
        forget(id);
      }
      to.endpointListCompleted();
      touched.clear();
    }

    @Override
    public void objectPurged(long object, int group, long atMs) {
      to.objectPurged(object, group, atMs);
    }
  }
}
