package amberpath.resp;

import amberpath.Arrivals.Note;
import amberpath.Arrivals.Outcome;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/** The connections to one cache: few, shared by many wants, and bounded. */
public final class CachePool {
  /** What bounds a pool: connections, wants on one, times to connect and to leave an idle one, the longest body. */
  public record Bounds(int connections, int wants, long connect, long idle, int longest) {
  }

  private final String name;
  private final SocketAddress address;
  private final NetClient client;
  private final Bounds bounds;
  private final LongSupplier clock;
  private final List<CacheConnection> connections = new ArrayList<>();
  private final List<Want> waiting = new ArrayList<>();
  private int connecting;
  private boolean closed;

  public CachePool(String name, SocketAddress address, NetClient client, Bounds bounds, LongSupplier clock) {
    this.name = name;
    this.address = address;
    this.client = client;
    this.bounds = bounds;
    this.clock = clock;
  }

  public SocketAddress address() {
    return address;
  }

  long now() {
    return clock.getAsLong();
  }

  /** Sends a want, at once where a connection is up. None carries two wants of one request. */
  public void send(Want want) {
    long now = now();
    CacheConnection best = best(want, now);
    int up = connections.size() + connecting;
    boolean more = up < bounds.connections && (best == null || best.load() >= spread());
    if (best != null) {
      best.send(want, now);
    } else if (closed || connecting == 0 && !more) {
      want.ended(Outcome.NO_CONNECTION, Note.NOTHING, null);
      return;
    } else {
      waiting.add(want);
    }
    if (more && connecting == 0) {
      connect();
    }
  }

  /** How many wants on each connection call for one more. */
  private int spread() {
    return Math.max(1, bounds.wants / 16);
  }

  private CacheConnection best(Want want, long now) {
    CacheConnection best = null;
    for (CacheConnection one : connections) {
      if (!one.silent() && one.load() < bounds.wants && one.idle(now) < bounds.idle && want.mayUse(one)
          && (best == null || one.load() < best.load())) {
        best = one;
      }
    }
    return best;
  }

  private void connect() {
    connecting++;
    client.connect(address).onComplete(result -> {
      connecting--;
      if (result.succeeded()) {
        connected(result.result());
      } else {
        fail(waiting::contains, Outcome.NO_CONNECTION);
      }
    });
  }

  private void connected(NetSocket socket) {
    if (closed) {
      socket.close();
      return;
    }
    CacheConnection one = new CacheConnection(this, socket, bounds.longest, now());
    connections.add(one);
    List<Want> ready = new ArrayList<>(waiting);
    waiting.clear();
    ready.forEach(this::send);
  }

  /** Ends those that wait for a connection and so have not begun to be sent. */
  public void fail(Predicate<Want> which, Outcome outcome) {
    List<Want> failed = waiting.stream().filter(which).toList();
    waiting.removeAll(failed);
    failed.forEach(want -> want.ended(outcome, Note.NOTHING, null));
  }

  /** Gives a want up; it is told nothing more. */
  public void giveUp(Want want) {
    if (!waiting.remove(want) && want.on != null) {
      want.on.neverMind(want, bounds.connect);
    }
  }

  /** Leaves connections that nobody used for long, before the cache does. */
  public void sweep() {
    long now = now();
    connections.stream().filter(one -> one.idle(now) >= bounds.idle || one.silent() && one.load() == 0)
        .toList().forEach(CacheConnection::close);
  }

  void closed(CacheConnection one) {
    connections.remove(one);
  }

  public void close() {
    closed = true;
    fail(want -> true, Outcome.NO_CONNECTION);
    List.copyOf(connections).forEach(CacheConnection::close);
  }

  @Override public String toString() {
    return name + " at " + address;
  }
}
