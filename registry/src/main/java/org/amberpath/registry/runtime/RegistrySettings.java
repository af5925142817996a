package org.amberpath.registry.runtime;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Where a registry is and how it is asked: all that a settings file may hold of it, checked. Times
 * are nanoseconds, sizes bytes.
 *
 * @param protocol which published protocol it speaks
 * @param prefix what all keys begin with; ends in a slash
 * @param trust PEM file of the authority that servers' certificates come from; null for an
 *     unencrypted connection
 * @param certificate PEM file of this client's certificate, with key its key; null for none
 * @param token file that holds the token to show; null for none
 * @param user who to log in as, with the password in a file; null for none. Only for {@link
 *     ProtocolKind#ETCD}
 * @param snapshot file that holds the view over a restart; null for none
 * @param snapshotIntervalNanos least time between two writes of it
 * @param maxSnapshotAgeNanos a snapshot older than this is passed over
 * @param purgeRetentionNanos how long the registry keeps the key of a purge at least
 * @param maxKeys how many keys are held at most
 * @param maxResponseBytes the size of the longest answer
 */
public record RegistrySettings(
    ProtocolKind protocol,
    List<SocketAddress> endpoints,
    String prefix,
    Path trust,
    Path certificate,
    Path key,
    Path token,
    String user,
    Path password,
    Path snapshot,
    long snapshotIntervalNanos,
    long maxSnapshotAgeNanos,
    long purgeRetentionNanos,
    int maxKeys,
    int maxResponseBytes) {
  /** The published protocols. */
  public enum ProtocolKind {
    /** The JSON form of version 3 of etcd's API: ranges, watches, transactions, leases. */
    ETCD,
    /** Consul's key-value store by HTTP: blocking reads, transactions. */
    CONSUL
  }

  /** The key of the tip, which every transaction writes. */
  public String tipKey() {
    return prefix + RecordCodec.TIP_KEY;
  }
}
