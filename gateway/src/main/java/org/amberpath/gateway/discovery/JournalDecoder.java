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
 * Decodes journal replies of the form {@code {"pos":N,"entries":[...]}} and forwards their entries
 * to an {@link EndpointListener}. The configuration holds the entries known at startup in the same
 * form. Entries whose number is not above the current position are skipped. Used on one event loop.
 */
public final class JournalDecoder {
  /** The source of decoded entries. */
  public enum EntrySource {
    /** A reply of the journal service that has just been received. */
    JOURNAL,
    /** The configuration; its entries may be of any age. */
    CONFIGURATION
  }

  /** Receives callbacks before and after the entries of a reply are forwarded. */
  public interface ReplyListener {
    /**
     * Called before the entries of a reply are forwarded.
     *
     * @param source where the entries come from
     * @param newestPurgeMillis the latest timestamp among the reply's new purges, in Unix
     *     milliseconds; 0 if it has none
     */
    void replyStarted(EntrySource source, long newestPurgeMillis);

    /** Called after the entries of a reply were forwarded, or forwarding failed. */
    void replyEnded();
  }

  private final ReplyListener replyListener;
  private long position;

  /** Creates a decoder whose position is the beginning of the journal, 0. */
  public JournalDecoder(ReplyListener replyListener) {
    this.replyListener = replyListener;
  }

  /**
   * Returns the journal position up to which replies have been decoded, where the next poll
   * continues.
   */
  public long position() {
    return position;
  }

  /**
   * Forwards the new entries of a journal reply to the listener and advances the position.
   *
   * @throws org.amberpath.gateway.settings.InvalidDocumentException if an entry cannot be decoded;
   *     no entry was forwarded then. After an exception of the listener the earlier entries have
   *     been forwarded and the position is unchanged
   */
  public void play(JsonReader reply, EndpointListener listener) {
    play(reply, listener, EntrySource.JOURNAL);
  }

  /**
   * Forwards the new entries that the configuration holds to the listener and advances the
   * position, like {@link #play}. The entries may be older than the previous poll.
   */
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

  /**
   * Forwards the entries whose number is above the position; returns the number of the last of
   * them, or the position if there is none.
   */
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
      run.end(); // After an exception, too: the entries before the invalid one take effect.
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
   * Merges consecutive entries with endpoint changes into one list, because the listener iterates
   * over all endpoints for each list. A full list starts a new list. So does an entry that lists an
   * id again which the current list has reported as gone: the id then names a new endpoint without
   * history.
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

  /**
   * Receives the entries of a reply in a first pass, before they are forwarded: finds the latest
   * purge timestamp. An invalid entry makes this pass throw, before anything was forwarded.
   */
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
