package org.amberpath.registry.runtime;

import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * * Where a registry is and how it is asked: all that a settings file may say of it, checked. Times
 * are nanoseconds, sizes bytes.
 *
 * @param form which published protocol it speaks
 * @param prefix what all keys begin with, ending in a slash
 * @param trust PEM file of the authority that servers' certificates come from; null for an
 *     unencrypted connection
 * @param certificate PEM file of this client's certificate, with key its key; null for none
 * @param token file that holds the token to show; null for none
 * @param user who to log in as, with the password in a file; null for none. Only for {@link
 *     Form#ETCD}
 * @param snapshot file that keeps the view over a restart; null for none
 * @param snapshotEvery how often it is written at most
 * @param snapshotOldest a snapshot older than this is passed over
 * @param retention how long the registry keeps the key of a purge at least
 * @param mostKeys how many keys are held at most
 * @param longestAnswer how long an answer may be
 */
public record RegistrySettings(
    Form form,
    List<SocketAddress> endpoints,
    String prefix,
    Path trust,
    Path certificate,
    Path key,
    Path token,
    String user,
    Path password,
    Path snapshot,
    long snapshotEvery,
    long snapshotOldest,
    long retention,
    int mostKeys,
    int longestAnswer) {
  /** The published protocols. */
  public enum Form {
    /** The JSON form of version 3 of etcd's API: ranges, watches, transactions, leases. */
    ETCD,
    /** Consul's key-value store by HTTP: blocking reads, transactions. */
    CONSUL
  }

  public String tipKey() {
    return prefix + RecordCodec.TIP;
  }
}
