package org.amberpath.lab.registry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.amberpath.lab.VirtualScheduler;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.RegistryView;
import org.amberpath.registry.WatchCommands;
import org.amberpath.registry.WatchEvent;
import org.amberpath.registry.WatchSession;
import org.amberpath.registry.WatchSession.Header;

/**
 * * Several endpoints over one history on a virtual clock, and clients that ask them. A call goes
 * there and back in half a millisecond to three, on every way that an endpoint may have.
 */
final class VirtualRegistry {
  static final String PREFIX = "p/", TIP = PREFIX + "tip";
  static final long MS = 1_000_000, SECOND = 1000 * MS;
  private static final long REFUSED_FOR = 14 * SECOND;

  /** How an endpoint treats what is asked of it. */
  enum Way {
    ANSWERS,
    SILENT,
    REFUSES,
    UNAVAILABLE,
    UNAUTHORISED
  }

  /** One endpoint. */
  final class Node {
    Way way = Way.ANSWERS;
    long lag, slow;

    /** Since when it has answered well. */
    long goodSince;

    long connects;
    private long excusedUntil;
    private final Set<Client.Open> open = new LinkedHashSet<>();
    private final List<Runnable> heldBack = new ArrayList<>();

    void become(Way other) {
      story.accept(nodes.indexOf(this) + " becomes " + other);
      // Who was not let in does not ask again soon.
      excusedUntil =
          other == Way.UNAUTHORISED
              ? Long.MAX_VALUE / 2
              : way == Way.UNAUTHORISED ? agenda.now() + REFUSED_FOR : excusedUntil;
      way = other;
      if (way == Way.ANSWERS) {
        goodSince = lag + slow > 0 ? Long.MAX_VALUE / 2 : Math.max(agenda.now(), excusedUntil);
        List<Runnable> late = List.copyOf(heldBack);
        heldBack.clear();
        late.forEach(Runnable::run);
      } else if (way != Way.SILENT) {
        cut();
      }
    }

    void slowness(long lagging, long slower) {
      story.accept(
          nodes.indexOf(this)
              + " lags "
              + lagging / MS
              + " ms, is slower by "
              + slower / MS
              + " ms");
      lag = lagging;
      slow = slower;
      if (lag + slow > 0) {
        goodSince = Long.MAX_VALUE / 2;
      } else if (goodSince == Long.MAX_VALUE / 2) {
        goodSince = Math.max(agenda.now(), excusedUntil);
      }
    }

    boolean goodFor(long time) {
      return way == Way.ANSWERS && goodSince <= agenda.now() - time;
    }

    /** Breaks all connections; new ones come up. */
    void cut() {
      story.accept(nodes.indexOf(this) + " is cut");
      heldBack.clear();
      for (Client.Open call : List.copyOf(open)) {
        call.broken = true;
        call.fail(RegistryFailure.BROKEN, 0);
      }
    }
  }

  final VirtualScheduler agenda;
  final List<Node> nodes = new ArrayList<>();
  RevisionedStore<RegistryRecord> history = new RevisionedStore<>("c1");
  private final SplittableRandom chance;
  private final boolean blocking;
  private final List<Client> clients = new ArrayList<>();

  /**
   * What went over the wire in all, by the size of the published forms: a key and its value take
   * some 300 bytes.
   */
  long items, answers;

  /** What happened, a line each, for who replays a seed. */
  Consumer<String> story = line -> {};

  VirtualRegistry(VirtualScheduler agenda, int endpoints, boolean blocking, long seed) {
    this.agenda = agenda;
    this.blocking = blocking;
    chance = new SplittableRandom(seed);
    for (int index = 0; index < endpoints; index++) {
      nodes.add(new Node());
      nodes.get(index).goodSince = agenda.now();
    }
  }

  boolean goodFor(long time) {
    return nodes.stream().anyMatch(node -> node.goodFor(time));
  }

  void write(Map<String, RegistryRecord> writes) {
    long before = history.revision();
    history.write(writes);
    if (history.revision() > before) {
      clients.forEach(client -> client.open.values().forEach(Client.Open::offer));
    }
  }

  /** All that was written since a copy was made is gone; connections break. */
  void restore(RevisionedStore<RegistryRecord> backup) {
    history = backup;
    story.accept("restored to " + backup.cluster + " " + backup.revision());
    nodes.forEach(Node::cut);
  }

  private long oneWay() {
    return chance.nextLong(MS / 4, 3 * MS / 2);
  }

  /** One gateway's recovery and view. */
  final class Client implements WatchCommands {
    final RegistryView view;
    final WatchSession recovery;
    private final Map<Long, Open> open = new LinkedHashMap<>();
    private long wakes = Long.MAX_VALUE;

    Client(RegistryView view, int mostKeys, long seed, Consumer<String> notes) {
      this.view = view;
      recovery =
          new WatchSession(view, this, nodes.size(), mostKeys, blocking ? SECOND : 0, seed, notes);
      clients.add(this);
    }

    void start() {
      recovery.start(agenda.now());
      arm();
    }

    /** Has the recovery wake when it wants to; a wake that it no longer wants does nothing. */
    private void arm() {
      long due = recovery.nextTickNanos();
      if (due < wakes) {
        wakes = due;
        agenda.at(
            due,
            () -> {
              if (wakes == due) {
                wakes = Long.MAX_VALUE;
                recovery.tick(agenda.now());
                arm();
              }
            });
      }
    }

    /** A call that has not ended. */
    private final class Open {
      final long call;
      final Node node;
      private long next, lastArrival;
      private boolean watching, broken;

      Open(long call, int endpoint) {
        this.call = call;
        node = nodes.get(endpoint);
        open.put(call, this);
        node.open.add(this);
      }

      /** Runs at the endpoint, if it takes calls now. */
      void there(Runnable what) {
        node.connects++;
        agenda.at(
            agenda.now() + oneWay(),
            () -> {
              switch (node.way) {
                case ANSWERS -> what.run();
                case SILENT -> node.heldBack.add(() -> agenda.at(agenda.now() + oneWay(), what));
                case REFUSES -> fail(RegistryFailure.REFUSED, 0);
                case UNAVAILABLE ->
                    fail(
                        chance.nextBoolean()
                            ? RegistryFailure.UNAVAILABLE
                            : RegistryFailure.THROTTLED,
                        50 * MS);
                default -> fail(RegistryFailure.UNAUTHORISED, 0);
              }
            });
      }

      /**
       * Runs at the client, in order, unless the call has ended; while the endpoint is silent it
       * waits.
       */
      void back(long extra, Runnable what) {
        lastArrival = Math.max(lastArrival, agenda.now() + oneWay() + node.slow + extra);
        agenda.at(lastArrival, () -> arrive(what));
      }

      private void arrive(Runnable what) {
        if (open.get(call) != this || broken) {
          return;
        }
        if (node.way == Way.SILENT) {
          node.heldBack.add(() -> arrive(what));
          return;
        }
        answers++;
        what.run();
        arm();
      }

      void fail(RegistryFailure why, long retryAfter) {
        agenda.at(
            agenda.now() + oneWay(),
            () -> {
              if (end()) {
                story.accept("call " + call + ": " + why);
                recovery.callFailed(agenda.now(), call, why, retryAfter);
                arm();
              }
            });
      }

      boolean end() {
        node.open.remove(this);
        return open.remove(call, this);
      }

      /** Sends what a watch has not been sent yet, now and then in frames that split a revision. */
      void offer() {
        if (!watching) {
          return;
        }
        if (blocking) {
          if (history.revision() > next - 1) {
            watching = false;
            answerAll(call, this, true);
          }
          return;
        }
        List<WatchEvent> changes = new ArrayList<>();
        for (RevisionedStore.Event<RegistryRecord> event :
            history.between(next, history.revision())) {
          if (event.key().startsWith(PREFIX)) {
            changes.add(
                new WatchEvent(
                    event.revision(),
                    event.key(),
                    event.kept() == null ? null : held(event.key(), event.kept())));
          }
        }
        next = history.revision() + 1;
        Header header = header();
        items += changes.size();
        if (changes.size() > 1 && chance.nextInt(4) == 0) {
          int cut = chance.nextInt(1, changes.size());
          List<WatchEvent> first = changes.subList(0, cut),
              rest = changes.subList(cut, changes.size());
          back(node.lag, () -> recovery.eventsReceived(agenda.now(), call, header, first, true));
          back(node.lag, () -> recovery.eventsReceived(agenda.now(), call, header, rest, false));
        } else if (!changes.isEmpty() || chance.nextInt(8) == 0) {
          back(node.lag, () -> recovery.eventsReceived(agenda.now(), call, header, changes, false));
        }
      }
    }

    private Header header() {
      return new Header(blocking ? "" : history.cluster, history.revision());
    }

    private RegistryEntry held(String key, RevisionedStore.Kept<RegistryRecord> kept) {
      return new RegistryEntry(key, kept.value(), kept.created(), kept.changed());
    }

    private List<RegistryEntry> all(
        Map<String, RevisionedStore.Kept<RegistryRecord>> state, String after, long since) {
      List<RegistryEntry> found = new ArrayList<>();
      state.forEach(
          (key, kept) -> {
            if (key.startsWith(PREFIX) && key.compareTo(after) > 0 && kept.changed() >= since) {
              found.add(held(key, kept));
            }
          });
      return found;
    }

    private void answerAll(long call, Open to, boolean ends) {
      List<RegistryEntry> found = all(history.now(), "", 0);
      Header header = header();
      items += found.size();
      to.back(
          to.node.lag,
          () -> {
            if (!ends || to.end()) {
              recovery.pageReceived(agenda.now(), call, header, found, false, -1);
            }
          });
    }

    @Override
    public void list(long call, int endpoint, long revision, String after, long since, int limit) {
      story.accept(
          "call " + call + ": list at " + endpoint + " revision " + revision + " since " + since);
      Open last = open.get(call);
      Open to = last == null ? new Open(call, endpoint) : last;
      to.there(
          () -> {
            if (blocking) {
              answerAll(call, to, true);
              return;
            }
            if ((revision != 0 && revision < history.compacted())
                || revision > history.revision()) {
              to.back(
                  0,
                  () -> {
                    if (to.end()) {
                      recovery.compacted(agenda.now(), call);
                    }
                  });
              return;
            }
            Map<String, RevisionedStore.Kept<RegistryRecord>> state =
                history.at(revision == 0 ? history.revision() : revision);
            List<RegistryEntry> found = all(state, after, since);
            long count =
                state.keySet().stream()
                    .filter(key -> key.startsWith(PREFIX) && key.compareTo(after) > 0)
                    .count();
            boolean more = found.size() > limit;
            List<RegistryEntry> part = more ? found.subList(0, limit) : found;
            Header header = header();
            items += part.size();
            // What a majority has is known to one that lags only when it has caught up.
            to.back(
                revision == 0 ? to.node.lag : 0,
                () -> {
                  if (more || to.end()) {
                    recovery.pageReceived(agenda.now(), call, header, part, more, count);
                  }
                });
          });
    }

    @Override
    public void watch(long call, int endpoint, long from) {
      story.accept("call " + call + ": watch at " + endpoint + " from " + from);
      Open to = new Open(call, endpoint);
      to.there(
          () -> {
            if (blocking) {
              to.next = from;
              to.watching = true;
              to.offer();
              agenda.at(
                  agenda.now() + SECOND,
                  () -> {
                    if (to.watching && open.get(call) == to && to.node.way == Way.ANSWERS) {
                      to.watching = false;
                      answerAll(call, to, true);
                    }
                  });
              if (history.revision() < from - 1 && to.watching) {
                // An index past what there is: the answer comes at once.
                to.watching = false;
                answerAll(call, to, true);
              }
            } else if (from <= history.compacted()) {
              to.back(
                  0,
                  () -> {
                    if (to.end()) {
                      recovery.compacted(agenda.now(), call);
                    }
                  });
            } else {
              Header header = header();
              to.back(0, () -> recovery.watchOpened(agenda.now(), call, header));
              to.next = from;
              to.watching = true;
              to.offer();
            }
          });
    }

    @Override
    public void heartbeat(long call, int endpoint) {
      story.accept("call " + call + ": pulse at " + endpoint);
      Open to = new Open(call, endpoint);
      to.there(
          () -> {
            RevisionedStore.Kept<RegistryRecord> tip = history.now().get(TIP);
            Header header = blocking ? new Header("", 0) : header();
            to.back(
                to.node.lag,
                () -> {
                  if (to.end()) {
                    story.accept(
                        "call "
                            + call
                            + ": tip "
                            + (tip == null ? 0 : tip.changed())
                            + " "
                            + header);
                    recovery.heartbeatReceived(
                        agenda.now(), call, header, tip == null ? 0 : tip.changed());
                  }
                });
          });
    }

    @Override
    public void cancel(long call) {
      story.accept("call " + call + ": dropped");
      Open dropped = open.get(call);
      if (dropped != null) {
        dropped.end();
      }
    }
  }
}
