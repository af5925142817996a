package amberpath.gateway;

import amberpath.msgpack.ClientConnection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The clients' connections: bounded in number, and in the time for a whole message that is owed. */
final class Clients {
  /** Clients that break the protocol are owed a close within 3 s; this and one sweep stay below. */
  private static final long MESSAGE_NS = 2_000_000_000L;

  private final int most;
  private final Clock clock;
  private final Set<ClientConnection> all = new LinkedHashSet<>();

  Clients(int most, Clock clock) {
    this.most = most;
    this.clock = clock;
  }

  /** Guards the descriptors: past their bound the connection goes that is of least use, not the newest good one. */
  void add(ClientConnection fresh) {
    all.add(fresh);
    if (all.size() > most) {
      ClientConnection least = null;
      for (ClientConnection one : all) {
        if (one != fresh && (one.owes() || one.isFree()) && (least == null || one.owes() && !least.owes()
            || one.owes() == least.owes() && one.heardAt() < least.heardAt())) {
          least = one;
        }
      }
      (least == null ? fresh : least).close();
    }
  }

  void remove(ClientConnection one) {
    all.remove(one);
  }

  int size() {
    return all.size();
  }

  /** Guards against clients that say nothing, or half a message. */
  void sweep() {
    long now = clock.now();
    for (ClientConnection one : List.copyOf(all)) {
      if (one.owes() && now - one.heardAt() > MESSAGE_NS) {
        one.unreadable("no whole message in time");
      }
    }
  }
}
