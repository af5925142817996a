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
 * Decodes {@code {"pos":N,"entries":[...]}}: a reply of the journal, and the form of the entries
 * that the configuration holds. Used on one event loop.
 */
public final class JournalDecoder {
  /** Where the entries come from that are played. */
  public enum EntrySource {
    /** A reply that was received just now. */
    JOURNAL,
    /** The configuration, whose entries may be of any age. */
    CONFIGURATION
  }

  /** Is notified when a reply is about to be played and when it has been. */
  public interface ReplyListener {
    /**
     * A reply is about to be played.
     *
     * @param source where it comes from
     * @param newestPurgeMillis the latest timestamp of a purge in it; 0 where there is none
     */
    void replyStarted(EntrySource source, long newestPurgeMillis);

    /** The reply has been played, or could not be. */
    void replyEnded();
  }

  private final ReplyListener replyListener;
  private long position;

  /** A decoder at the beginning of the journal. */
  public JournalDecoder(ReplyListener replyListener) {
    this.replyListener = replyListener;
  }

  /** The number of the last event that was played. */
  public long position() {
    return position;
  }

  /**
   * Plays the entries of a reply that are new.
   *
   * @throws org.amberpath.gateway.settings.InvalidDocumentException if an entry is invalid; nothing
   *     of the reply was played then
   */
  public void play(JsonReader reply, EndpointListener listener) {
    play(reply, listener, EntrySource.JOURNAL);
  }

  /** The same for the entries of the configuration, which may be of any age. */
  public void playKnown(JsonReader reply, EndpointListener listener) {
    play(reply, listener, EntrySource.CONFIGURATION);
  }

  private void play(JsonReader reply, EndpointListener listener, EntrySource source) {
    long last = reply.longOr("pos", 0);
    NewestPurgeFinder newestPurge = new NewestPurgeFinder();
    playEntries(reply, newestPurge);
    replyListener.replyStarted(source, newestPurge.millis);
    try {
      position = Math.max(playEntries(reply, listener), last);
    } finally {
      replyListener.replyEnded();
    }
  }

  /** Plays the entries that are new; returns the number of the last one. */
  private long playEntries(JsonReader reply, EndpointListener target) {
    long at = position;
    ListRun run = new ListRun(target);
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

  private static void entry(JsonReader entry, EndpointListener listener, ListRun run) {
    if (entry.has("hosts")) {
      JsonReader hosts = entry.object("hosts");
      run.add(hosts.booleanOrFalse("reset"), hosts.objects("instances"));
    } else if (entry.has("expire")) {
      run.end();
      JsonReader purge = entry.object("expire");
      listener.objectPurged(
          purge.has("name") ? object(purge) : 0, purge.intOr("set", 0), purge.longValue("stamp"));
    }
  }

  private static void endpoint(JsonReader instance, EndpointListener listener) {
    listener.endpointListed(
        new ListedEndpoint(
            instance.string("instanceId"),
            instance.has("hostPort") ? instance.string("hostPort") : "",
            instance.has("zone") ? instance.string("zone") : "",
            instance.has("machineType") ? instance.string("machineType") : "",
            instance.intOr("cell", 0),
            state(instance),
            instance.doubleOr("weight", 1),
            instance.longOr("startedAtMs", 0)));
  }

  private static long object(JsonReader purge) {
    try {
      return Long.parseUnsignedLong(purge.string("name"), 16);
    } catch (NumberFormatException e) {
      throw purge.invalid("name", "not an object's id: " + purge.string("name"));
    }
  }

  private static EndpointState state(JsonReader instance) {
    return switch (instance.string("lifecycle")) {
      case "ready" -> EndpointState.UP;
      case "draining" -> EndpointState.DRAINING;
      case "gone" -> EndpointState.GONE;
      default ->
          throw instance.invalid("lifecycle", "of no known kind: " + instance.string("lifecycle"));
    };
  }

  /**
   * Plays a run of changes of the list as one list, since each list makes its listener go through
   * all endpoints. A full list begins a list of its own, and so does an id that was gone: it is
   * another endpoint, of which nothing is known.
   */
  private static final class ListRun {
    private final EndpointListener listener;
    private final Set<String> gone = new HashSet<>();
    private boolean isOpen;

    ListRun(EndpointListener listener) {
      this.listener = listener;
    }

    void add(boolean full, List<JsonReader> instances) {
      if (full || isReturn(instances)) {
        end();
      }
      if (!isOpen) {
        listener.endpointListStarted(full ? EndpointListKind.FULL : EndpointListKind.CHANGES);
      }
      for (JsonReader instance : instances) {
        endpoint(instance, listener);
        if (state(instance) == EndpointState.GONE) {
          gone.add(instance.string("instanceId"));
        }
      }
      isOpen = true;
    }

    private boolean isReturn(List<JsonReader> instances) {
      for (JsonReader instance : gone.isEmpty() ? List.<JsonReader>of() : instances) {
        if (gone.contains(instance.string("instanceId")) && state(instance) != EndpointState.GONE) {
          return true;
        }
      }
      return false;
    }

    void end() {
      if (isOpen) {
        isOpen = false;
        gone.clear();
        listener.endpointListCompleted();
      }
    }
  }

  /** Finds the newest purge of a reply, and any invalid entry, before it is played. */
  private static final class NewestPurgeFinder implements EndpointListener {
    private long millis;

    @Override
    public void endpointListStarted(EndpointListKind kind) {}

    @Override
    public void endpointListed(ListedEndpoint endpoint) {}

    @Override
    public void endpointListCompleted() {}

    @Override
    public void objectPurged(long object, int group, long atMs) {
      millis = Math.max(millis, atMs);
    }
  }
}
