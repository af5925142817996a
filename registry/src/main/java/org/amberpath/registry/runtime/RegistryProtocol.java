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
 * The codec of one protocol: encodes requests and decodes responses. A decoder throws {@link
 * org.amberpath.gateway.settings.InvalidDocumentException} for a response that it can't decode.
 */
interface RegistryProtocol {
  /**
   * An HTTP request.
   *
   * @param body the request's body; null for none
   */
  @SuppressWarnings("ArrayRecordComponent") // Passed on, never compared.
  record Request(HttpMethod method, String uri, byte[] body) {}

  /**
   * The response to a heartbeat.
   *
   * @param tipRevision the revision at which the tip was written; 0 if the tip doesn't exist
   */
  record Heartbeat(Header header, long tipRevision) {}

  /** One line of a watch's response stream. */
  sealed interface Frame {
    /** The server has opened the watch. */
    record Opened(Header header) implements Frame {}

    /**
     * Events of the watch.
     *
     * @param events the events; empty for a progress notification
     * @param partial whether more events of the last revision follow in another frame
     */
    record Events(Header header, List<WatchEvent> events, boolean partial) implements Frame {}

    /** A compaction has removed the revision at which the watch was to start. */
    record Compacted() implements Frame {}

    /** The server has ended the watch. */
    record Ended(RegistryFailure failure) implements Frame {}
  }

  /**
   * A write of one key in a transaction. It succeeds only if the key has not changed since it was
   * read.
   *
   * @param value the new value; empty to delete the key
   * @param expectedRevision the revision at which the key was last written; 0 for a key that does
   *     not exist
   */
  record Write(String key, Optional<RegistryRecord> value, long expectedRevision) {
    /** Creates a write of a value. */
    static Write put(String key, RegistryRecord value, long expectedRevision) {
      return new Write(key, Optional.of(value), expectedRevision);
    }

    /** Creates a deletion of a key. */
    static Write delete(String key, long expectedRevision) {
      return new Write(key, Optional.empty(), expectedRevision);
    }
  }

  /**
   * Encodes the request for a page; the parameters are those of {@link
   * org.amberpath.registry.WatchCommands#list}.
   */
  Request listRequest(long revision, String afterKey, long sinceRevision, int pageSize);

  /** Decodes a page. */
  RegistryPage decodePage(int status, MultiMap headers, byte[] body);

  /** Encodes the request for a watch: a stream of lines for etcd, a blocking read for Consul. */
  Request watchRequest(long fromRevision);

  /** How the response to {@link #watchRequest} is read. */
  RegistryHttpClient.ResponseKind watchResponseKind();

  /** Decodes a line of a watch's response stream. */
  Frame decodeFrame(byte[] line);

  /** Encodes a linearizable read of the tip. */
  Request heartbeatRequest();

  /** Decodes the response to a heartbeat. */
  Heartbeat decodeHeartbeat(int status, MultiMap headers, byte[] body);

  /** Whether a response reports that a compaction has removed the requested revision. */
  boolean isCompacted(int status, byte[] body);

  /** Returns the failure that a response reports; empty if it is none. */
  Optional<RegistryFailure> failure(int status, byte[] body);

  /**
   * Encodes a transaction of all writes and one of the tip.
   *
   * @param leaseId the lease to attach to the keys; 0 for none
   * @param tip the tip's new value
   */
  Request transactionRequest(List<Write> writes, long leaseId, byte[] tip);

  /** Whether a transaction was carried out; false if one of its keys had changed. */
  boolean isCommitted(int status, byte[] body);
}
