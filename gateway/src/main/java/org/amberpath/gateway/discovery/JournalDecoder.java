package org.amberpath.gateway.discovery;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.amberpath.gateway.settings.JsonReader;
import org.amberpath.routing.EndpointListKind;
import org.amberpath.routing.EndpointListener;
import org.amberpath.routing.EndpointState;
import org.amberpath.routing.ListedEndpoint;

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

    void ends();
  }

  private final Replies replies;
  private long pos;

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
    long last = reply.longOr("pos", 0);
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
      for (JsonReader entry : reply.objects("entries")) {
        long number = entry.longOr("pos", 0);
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
      JsonReader hosts = entry.object("hosts");
      run.add(hosts.booleanOrFalse("reset"), hosts.objects("instances"));
    } else if (entry.has("expire")) {
      run.end();
      JsonReader purge = entry.object("expire");
      to.objectPurged(
          purge.has("name") ? object(purge) : 0, purge.intOr("set", 0), purge.longValue("stamp"));
    }
  }

  private static void member(JsonReader one, EndpointListener to) {
    to.endpointListed(
        new ListedEndpoint(
            one.string("instanceId"),
            one.has("hostPort") ? one.string("hostPort") : "",
            one.has("zone") ? one.string("zone") : "",
            one.has("machineType") ? one.string("machineType") : "",
            one.intOr("cell", 0),
            state(one),
            one.doubleOr("weight", 1),
            one.longOr("startedAtMs", 0)));
  }

  private static long object(JsonReader purge) {
    try {
      return Long.parseUnsignedLong(purge.string("name"), 16);
    } catch (NumberFormatException e) {
      throw purge.invalid("name", "not an object's id: " + purge.string("name"));
    }
  }

  private static EndpointState state(JsonReader one) {
    return switch (one.string("lifecycle")) {
      case "ready" -> EndpointState.UP;
      case "draining" -> EndpointState.DRAINING;
      case "gone" -> EndpointState.GONE;
      default -> throw one.invalid("lifecycle", "of no known kind: " + one.string("lifecycle"));
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
        to.endpointListStarted(whole ? EndpointListKind.FULL : EndpointListKind.CHANGES);
      }
      for (JsonReader one : instances) {
        member(one, to);
        if (state(one) == EndpointState.GONE) {
          left.add(one.string("instanceId"));
        }
      }
      isOpen = true;
    }

    private boolean isReturn(List<JsonReader> instances) {
      for (JsonReader one : left.isEmpty() ? List.<JsonReader>of() : instances) {
        if (left.contains(one.string("instanceId")) && state(one) != EndpointState.GONE) {
          return true;
        }
      }
      return false;
    }

    void end() {
      if (isOpen) {
        isOpen = false;
        left.clear();
        to.endpointListCompleted();
      }
    }
  }

  /** Reads a reply through before it is told. */
  private static final class Scout implements EndpointListener {
    private long newestPurge;

    @Override
    public void endpointListStarted(EndpointListKind kind) {}

    @Override
    public void endpointListed(ListedEndpoint endpoint) {}

    @Override
    public void endpointListCompleted() {}

    @Override
    public void objectPurged(long object, int group, long atMs) {
      newestPurge = Math.max(newestPurge, atMs);
    }
  }
}
