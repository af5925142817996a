package org.amberpath.registry.runtime;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import org.amberpath.registry.RegistryFailure;
import org.amberpath.registry.RegistryPage;
import org.amberpath.registry.RegistryRecord;
import org.amberpath.registry.WatchEvent;
import org.amberpath.registry.WatchSession.Header;

/**
 * The codec of one published protocol: encodes requests, decodes answers. What can't be decoded is
 * an {@link org.amberpath.gateway.settings.InvalidDocumentException}.
 */
interface RegistryProtocol {
  /** A request to be sent; body null for none. */
  @SuppressWarnings("ArrayRecordComponent") // Handed over, never compared.
  record Request(HttpMethod method, String uri, byte[] body) {}

  /**
   * The answer to a heartbeat.
   *
   * @param tipRevision at which revision the tip was written; 0 where there is none
   */
  record Heartbeat(Header header, long tipRevision) {}

  /** One line of a watch's stream. */
  sealed interface Frame {
    /** The watch is open. */
    record Opened(Header header) implements Frame {}

    /** Events; none for a progress notification. More of the last revision follow if partial. */
    record Events(Header header, List<WatchEvent> events, boolean partial) implements Frame {}

    /** The revision that the watch was to start at is compacted. */
    record Compacted() implements Frame {}

    /** The server has ended the watch. */
    record Ended(RegistryFailure why) implements Frame {}
  }

  /**
   * One key's write in a transaction, which is carried out only if the key is as it was read.
   *
   * @param value the new value; empty deletes the key
   * @param expectedRevision at which revision the key was last written; 0 for one that is not there
   */
  record Write(String key, Optional<RegistryRecord> value, long expectedRevision) {
    /** Writes a value. */
    static Write put(String key, RegistryRecord value, long expectedRevision) {
      return new Write(key, Optional.of(value), expectedRevision);
    }

    /** Deletes a key. */
    static Write delete(String key, long expectedRevision) {
      return new Write(key, Optional.empty(), expectedRevision);
    }
  }

  /** Reads a page; the arguments are those of {@link org.amberpath.registry.WatchCommands#list}. */
  Request listRequest(long revision, String afterKey, long sinceRevision, int pageSize);

  /** The page that was read. */
  RegistryPage decodePage(int status, MultiMap headers, byte[] body);

  /** A stream of lines for one protocol, a read that is held back for the other. */
  Request watchRequest(long fromRevision);

  /** How the response to {@link #watchRequest} is read. */
  RegistryHttpClient.ResponseKind watchResponse();

  /** A line of a watch's stream. */
  Frame decodeFrame(byte[] line);

  /** Reads the tip, linearizably. */
  Request heartbeatRequest();

  /** The tip that was read. */
  Heartbeat decodeHeartbeat(int status, MultiMap headers, byte[] body);

  /** Whether an answer says that a compaction has removed the revision. */
  boolean isCompacted(int status, byte[] body);

  /** Why an answer of this status is none; empty where it is one. */
  Optional<RegistryFailure> failure(int status, byte[] body);

  /** A transaction: all writes and one to the tip, or none. A lease of 0 is none. */
  Request transactionRequest(List<Write> writes, long leaseId, byte[] tip);

  /** Whether a transaction was carried out; false where a key was written meanwhile. */
  boolean isCommitted(int status, byte[] body);
}
