package org.amberpath.gateway.discovery;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.RoutingEvents.State;

/**
 * Decodes {"pos":N,"entries":[...]}, which is a reply of the journal and the form of what is known
 * at start.
 */
public final class JournalDecoder {
  /** Is told when a reply is about to be played and when it has been. */
  public interface Replies {
    /**
     * Live, or known from before; newestPurgeMillis is the latest stamp of a purge in it, 0 where
     * there is none.
     */
    void begins(boolean live, long newestPurgeMillis);

    /** The reply has been played, or could not be. */
    void ends();
  }

  private final Replies replies;
  private long pos;

  /** A decoder that has heard of no event yet. */
  public JournalDecoder(Replies replies) {
    this.replies = replies;
  }

  /** The number of the last event heard of. */
  public long pos() {
    return pos;
  }

  /**
   * Plays the entries that are new. An unreadable one is thrown before any of the reply is played.
   */
  public void play(JsonReader reply, EndpointListener to) {
    play(reply, to, true);
  }

  /** The same for what is known from a file, of any age. */
  public void playKnown(JsonReader reply, EndpointListener to) {
    play(reply, to, false);
  }

  private void play(JsonReader reply, EndpointListener to, boolean live) {
    long last = reply.wholeOr("pos", 0);
    Scout scout = new Scout();
    tell(reply, scout);
    replies.begins(live, scout.newestPurge);
    try {
      pos = Math.max(tell(reply, to), last);
    } finally {
      replies.ends();
    }
  }

  /** Returns the number of the last event that is known then. */
  private long tell(JsonReader reply, EndpointListener target) {
    long at = pos;
    ListingRun run = new ListingRun(target);
    try {
      for (JsonReader entry : reply.each("entries")) {
        long number = entry.wholeOr("pos", 0);
        if (number > at) {
          entry(entry, target, run);
          at = number;
        }
      }
    } finally {
      run.end(); // Also before an entry that can't be used: what came before it counts.
    }
    return at;
  }

  private static void entry(JsonReader entry, EndpointListener to, ListingRun run) {
    if (entry.has("hosts")) {
      JsonReader hosts = entry.fields("hosts");
      run.add(hosts.flag("reset"), hosts.each("instances"));
    } else if (entry.has("expire")) {
      run.end();
      JsonReader purge = entry.fields("expire");
      to.purged(purge.has("name") ? object(purge) : 0, purge.place("set", 0), purge.whole("stamp"));
    }
  }

  private static void member(JsonReader one, EndpointListener to) {
    to.member(
        one.text("instanceId"),
        one.has("hostPort") ? one.text("hostPort") : "",
        one.has("zone") ? one.text("zone") : "",
        one.has("machineType") ? one.text("machineType") : "",
        one.place("cell", 0),
        state(one),
        one.numberOr("weight", 1),
        one.wholeOr("startedAtMs", 0));
  }

  private static long object(JsonReader purge) {
    try {
      return Long.parseUnsignedLong(purge.text("name"), 16);
    } catch (NumberFormatException e) {
      throw purge.wrong("name", "not an object's id: " + purge.text("name"));
    }
  }

  private static State state(JsonReader one) {
    return switch (one.text("lifecycle")) {
      case "ready" -> State.UP;
      case "draining" -> State.DRAINING;
      case "gone" -> State.GONE;
      default -> throw one.wrong("lifecycle", "of no known kind: " + one.text("lifecycle"));
    };
  }

  /**
   * Tells a run of changes of the list as one listing, since whoever hears of one goes through all
   * endpoints. A full list begins a listing of its own, and so does an id that had left: what comes
   * back is another endpoint, of which nothing is known.
   */
  private static final class ListingRun {
    private final EndpointListener to;
    private final Set<String> left = new HashSet<>();
    private boolean isOpen;

    ListingRun(EndpointListener to) {
      this.to = to;
    }

    void add(boolean whole, List<JsonReader> instances) {
      if (whole || isReturn(instances)) {
        end();
      }
      if (!isOpen) {
        to.listing(whole);
      }
      for (JsonReader one : instances) {
        member(one, to);
        if (state(one) == State.GONE) {
          left.add(one.text("instanceId"));
        }
      }
      isOpen = true;
    }

    private boolean isReturn(List<JsonReader> instances) {
      for (JsonReader one : left.isEmpty() ? List.<JsonReader>of() : instances) {
        if (left.contains(one.text("instanceId")) && state(one) != State.GONE) {
          return true;
        }
      }
      return false;
    }

    void end() {
      if (isOpen) {
        isOpen = false;
        left.clear();
        to.listed();
      }
    }
  }

  /** Reads a reply through before it is told. */
  private static final class Scout implements EndpointListener {
    private long newestPurge;

    @Override
    public void listing(boolean whole) {}

    @Override
    public void member(
        String id,
        String address,
        String zone,
        String kind,
        int cell,
        State state,
        double weight,
        long startedAtMs) {}

    @Override
    public void listed() {}

    @Override
    public void purged(long object, int group, long atMs) {
      newestPurge = Math.max(newestPurge, atMs);
    }
  }
}
