package org.amberpath.gateway.discovery;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
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
  public void decode(JsonReader reply, EndpointListener listener) {
    decode(reply, listener, EntrySource.JOURNAL);
  }

  /**
   * Forwards the new entries that the configuration holds to the listener and advances the
   * position, like {@link #decode}. The entries may be older than the previous poll.
   */
  public void decodeKnownEntries(JsonReader reply, EndpointListener listener) {
    decode(reply, listener, EntrySource.CONFIGURATION);
  }

  private void decode(JsonReader reply, EndpointListener listener, EntrySource source) {
    long replyPosition = reply.longOr("pos", 0);
    NewestPurgeFinder purgeFinder = new NewestPurgeFinder();
    decodeEntries(reply, purgeFinder);
    replyListener.replyStarted(source, purgeFinder.newestMillis);
    try {
      position = Math.max(decodeEntries(reply, listener), replyPosition);
    } finally {
      replyListener.replyEnded();
    }
  }

  /**
   * Forwards the entries whose number is above the position; returns the number of the last of
   * them, or the position if there is none.
   */
  private long decodeEntries(JsonReader reply, EndpointListener listener) {
    long lastPosition = position;
    ListMerger listMerger = new ListMerger(listener);
    try {
      for (JsonReader entry : reply.objects("entries")) {
        long entryPosition = entry.longOr("pos", 0);
        if (entryPosition > lastPosition) {
          decodeEntry(entry, listener, listMerger);
          lastPosition = entryPosition;
        }
      }
    } finally {
      // After an exception, too: the entries before the invalid one take effect.
      listMerger.completeList();
    }
    return lastPosition;
  }

  private static void decodeEntry(
      JsonReader entry, EndpointListener listener, ListMerger listMerger) {
    if (entry.has("hosts")) {
      JsonReader hosts = entry.object("hosts");
      listMerger.add(hosts.booleanOrFalse("reset"), hosts.objects("instances"));
    } else if (entry.has("expire")) {
      listMerger.completeList();
      JsonReader purge = entry.object("expire");
      listener.objectPurged(
          purge.has("name") ? objectId(purge) : 0, purge.intOr("set", 0), purge.longValue("stamp"));
    }
  }

  private static void decodeEndpoint(JsonReader instance, EndpointListener listener) {
    listener.endpointListed(
        new ListedEndpoint(
            instance.string("instanceId"),
            instance.has("hostPort") ? instance.string("hostPort") : "",
            instance.has("zone") ? instance.string("zone") : "",
            instance.has("machineType") ? instance.string("machineType") : "",
            instance.has("cell") ? OptionalInt.of(instance.intOr("cell", 0)) : OptionalInt.empty(),
            endpointState(instance),
            instance.has("weight")
                ? OptionalDouble.of(instance.doubleOr("weight", 1))
                : OptionalDouble.empty(),
            instance.longOr("startedAtMs", 0)));
  }

  private static long objectId(JsonReader purge) {
    try {
      return Long.parseUnsignedLong(purge.string("name"), 16);
    } catch (NumberFormatException e) {
      throw purge.invalid("name", "not a hexadecimal object id: " + purge.string("name"));
    }
  }

  private static EndpointState endpointState(JsonReader instance) {
    return switch (instance.string("lifecycle")) {
      case "ready" -> EndpointState.UP;
      case "draining" -> EndpointState.DRAINING;
      case "gone" -> EndpointState.GONE;
      default ->
          throw instance.invalid(
              "lifecycle",
              "of no known kind: "
                  + instance.string("lifecycle")
                  + "; expected ready, draining or gone");
    };
  }

  /**
   * Merges consecutive entries with endpoint changes into one list, because the listener iterates
   * over all endpoints for each list. A full list starts a new list. So does an entry that lists an
   * id again which the current list has reported as gone: the id then names a new endpoint without
   * history.
   */
  private static final class ListMerger {
    private final EndpointListener listener;
    private final Set<String> goneIds = new HashSet<>();
    private boolean isListOpen;

    ListMerger(EndpointListener listener) {
      this.listener = listener;
    }

    void add(boolean isFull, List<JsonReader> instances) {
      if (isFull || relistsGoneId(instances)) {
        completeList();
      }
      if (!isListOpen) {
        listener.endpointListStarted(isFull ? EndpointListKind.FULL : EndpointListKind.CHANGES);
      }
      for (JsonReader instance : instances) {
        decodeEndpoint(instance, listener);
        if (endpointState(instance) == EndpointState.GONE) {
          goneIds.add(instance.string("instanceId"));
        }
      }
      isListOpen = true;
    }

    private boolean relistsGoneId(List<JsonReader> instances) {
      for (JsonReader instance : goneIds.isEmpty() ? List.<JsonReader>of() : instances) {
        if (goneIds.contains(instance.string("instanceId"))
            && endpointState(instance) != EndpointState.GONE) {
          return true;
        }
      }
      return false;
    }

    void completeList() {
      if (isListOpen) {
        isListOpen = false;
        goneIds.clear();
        listener.endpointListCompleted();
      }
    }
  }

  /**
   * Receives the entries of a reply in a first pass, before they are forwarded: finds the latest
   * purge timestamp. An invalid entry makes this pass throw, before anything was forwarded.
   */
  private static final class NewestPurgeFinder implements EndpointListener {
    private long newestMillis;

    @Override
    public void endpointListStarted(EndpointListKind kind) {}

    @Override
    public void endpointListed(ListedEndpoint endpoint) {}

    @Override
    public void endpointListCompleted() {}

    @Override
    public void objectPurged(long object, int group, long atMs) {
      newestMillis = Math.max(newestMillis, atMs);
    }
  }
}
