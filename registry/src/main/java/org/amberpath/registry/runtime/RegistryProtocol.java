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
  record Request(HttpMethod method, String uri, byte[] body) {}

  /** A part of a list; count as {@link org.amberpath.registry.WatchSession#pageReceived} has it. */
  record Page(Header header, List<RegistryEntry> items, boolean more, long count) {}

  /** The answer to a pulse. */
  record Heartbeat(Header header, long tipRevision) {}

  /** What a line of a watch's stream says. */
  sealed interface Frame {
    record Opened(Header header) implements Frame {}

    record Events(Header header, List<WatchEvent> events, boolean partial) implements Frame {}

    record Compacted() implements Frame {}

    record Ended(RegistryFailure why) implements Frame {}
  }

  /**
   * One key's write in a transaction; content null deletes. It holds only if the key was last
   * written at changed.
   */
  record Write(String key, RegistryRecord value, long expectedRevision) {}

  Request listRequest(long revision, String after, long since, int limit);

  Page decodePage(int status, MultiMap headers, byte[] body);

  /** A stream of lines for one form, a read that is held back for the other. */
  Request watchRequest(long from);

  Frame decodeFrame(byte[] line);

  Request heartbeatRequest();

  Heartbeat decodeHeartbeat(int status, MultiMap headers, byte[] body);

  /** Whether an answer says that a revision is compacted. */
  boolean isCompacted(int status, byte[] body);

  /** Why an answer of this status is no answer; null where it is one. */
  RegistryFailure failure(int status, byte[] body);

  /** A transaction: all writes and one to the tip, or none. A lease of 0 is none. */
  Request transactionRequest(List<Write> writes, long lease, byte[] tip);

  /** Whether it was carried out; false where a key had moved meanwhile. */
  boolean isCommitted(int status, byte[] body);
}
