package amberpath.gateway;

import amberpath.Arrivals.Events;
import amberpath.Arrivals.Listing;
import amberpath.Arrivals.Outcome;
import amberpath.Arrivals.State;
import amberpath.journal.JournalListener;
import amberpath.resp.CachePool;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The caches that the journal told of, by the small indices under which the decisions know them. */
final class Caches implements JournalListener {
  private static final class Entry {
    final String id;
    SocketAddress address;
    State state;
    CachePool pool;

    Entry(String id) {
      this.id = id;
    }
  }

  private final GatewayOptions options;
  private final Clock clock;
  private final NetClient client;
  private final Map<String, Integer> indices = new HashMap<>();
  private final List<Entry> entries = new ArrayList<>();
  private final List<Consumer<Events>> list = new ArrayList<>();
  private Route route;
  private boolean told;

  Caches(Vertx vertx, GatewayOptions options, Clock clock) {
    this.options = options;
    this.clock = clock;
    client = vertx.createNetClient(new NetClientOptions()
        .setConnectTimeout((int) Math.max(1, options.connectTimeout() / 1_000_000)));
  }

  void newsTo(Route to) {
    route = to;
  }

  String id(int cache) {
    return entries.get(cache).id;
  }

  CachePool pool(int cache) {
    Entry entry = entries.get(cache);
    if (entry.pool == null) {
      CachePool.Bounds bounds = new CachePool.Bounds(options.connectionsToEach(entries.size()),
          options.wantsOnConnection(), options.connectTimeout(), options.connectionIdle(), 1 << 20);
      entry.pool = new CachePool(entry.id, entry.address, client, bounds, clock::now);
    }
    return entry.pool;
  }

  @Override public void listing(boolean whole) {
    list.clear();
    list.add(to -> to.listing(whole ? Listing.FULL : Listing.CHANGES));
    if (whole) {
      entries.forEach(entry -> entry.state = State.GONE);
    }
  }

  @Override public void member(String id, String address, String zone, String kind, int cell, State state,
      double weight, long startedAtMs) {
    int index = indices.computeIfAbsent(id, fresh -> {
      entries.add(new Entry(fresh));
      return entries.size() - 1;
    });
    Entry entry = entries.get(index);
    entry.state = state;
    if (!address.isEmpty()) {
      SocketAddress now = GatewayOptions.address("journal: hostPort is", address);
      if (entry.pool != null && !now.equals(entry.address)) {
        entry.pool.close();
        entry.pool = null;
      }
      entry.address = now;
    }
    list.add(to -> to.member(index, id, zone, kind, cell, state, weight,
        startedAtMs == 0 ? 0 : clock.now() - clock.since(startedAtMs)));
  }

  /** Whether a list has come: before that nothing can be decided. */
  boolean told() {
    return told;
  }

  @Override public void listed() {
    told = true;
    List<Consumer<Events>> news = List.copyOf(list);
    route.arrived(null, to -> {
      news.forEach(one -> one.accept(to));
      to.listed();
    });
    // Guards drains: what waits for a connection has not been sent, and is not sent past the grace.
    for (Entry entry : entries) {
      if (entry.pool != null) {
        entry.pool.fail(want -> entry.state != State.UP || !up((Send.Sent) want), Outcome.NOT_SENT);
      }
    }
  }

  private boolean up(Send.Sent sent) {
    return entries.get(sent.source).state == State.UP;
  }

  @Override public void purged(long object, int group, long atMs) {
    route.arrived(null, to -> to.purged(object, group, Math.max(0, clock.since(atMs))));
  }

  void sweep() {
    for (Entry entry : entries) {
      if (entry.pool != null) {
        entry.pool.sweep();
      }
    }
  }

  void close() {
    client.close();
    for (Entry entry : entries) {
      if (entry.pool != null) {
        entry.pool.close();
      }
    }
  }
}
