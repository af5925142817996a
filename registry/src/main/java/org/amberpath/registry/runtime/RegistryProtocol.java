package org.amberpath.registry.runtime;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.WatchEvent;
import org.amberpath.registry.WatchSession.Header;

/**
 * The codec of one published protocol: where its words end. What can't be read is an
 * InvalidDocumentException of the JSON fields.
 */
interface RegistryProtocol {
  /** A request to be sent; body null for none. */
  @SuppressWarnings("ArrayRecordComponent") // Handed over, never compared.
  record Ask(HttpMethod method, String uri, byte[] body) {}

  /** A part of a list; count as {@link org.amberpath.registry.WatchSession#pageReceived} has it. */
  record Page(Header header, List<RegistryEntry> items, boolean more, long count) {}

  /** The answer to a pulse. */
  record Tip(Header header, long tip) {}

  /** What a line of a watch's stream says. */
  sealed interface Frame {
    record Opened(Header header) implements Frame {}

    record Told(Header header, List<WatchEvent> changes, boolean partial) implements Frame {}

    record Compacted() implements Frame {}

    record Ended(RegistryFailure why) implements Frame {}
  }

  /**
   * One key's write in a transaction; content null deletes. It holds only if the key was last
   * written at changed.
   */
  record Write(String key, RegistryRecord content, long changed) {}

  Ask list(long revision, String after, long since, int limit);

  Page page(int status, MultiMap headers, byte[] body);

  /** A stream of lines for one form, a read that is held back for the other. */
  Ask watch(long from);

  Frame frame(byte[] line);

  Ask pulse();

  Tip tip(int status, MultiMap headers, byte[] body);

  /** Whether an answer says that a revision is compacted. */
  boolean isCompacted(int status, byte[] body);

  /** Why an answer of this status is no answer; null where it is one. */
  RegistryFailure failure(int status, byte[] body);

  /** A transaction: all writes and one to the tip, or none. A lease of 0 is none. */
  Ask write(List<Write> writes, long lease, byte[] tip);

  /** Whether it was carried out; false where a key had moved meanwhile. */
  boolean written(int status, byte[] body);
}
