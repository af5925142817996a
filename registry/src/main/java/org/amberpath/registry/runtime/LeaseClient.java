package org.amberpath.registry.runtime;

import io.vertx.core.Future;
import java.util.List;
import org.amberpath.registry.RegistryEntry;
import org.amberpath.registry.RegistryRecord;

/**
 * Grants, renews and revokes leases, and acquires tasks that are owned through them. Only for etcd.
 */
final class LeaseClient {
  private final AdminRequests requests;
  private final String prefix;

  LeaseClient(AdminRequests requests, String prefix) {
    this.requests = requests;
    this.prefix = prefix;
  }

  private EtcdProtocol etcd() {
    return (EtcdProtocol) requests.protocol();
  }

  /** Grants a lease and returns its id. */
  Future<Long> grant(int endpoint, long ttlSeconds) {
    return requests
        .send(endpoint, EtcdLeases.grantRequest(ttlSeconds))
        .map(response -> EtcdLeases.decodeGrant(response.body()));
  }

  /** Lists the keys of all tasks' owners and terms. */
  Future<List<RegistryEntry>> tasks() {
    return requests.fromFirstResponding(
        endpoint ->
            requests
                .send(endpoint, EtcdLeases.tasksRequest(prefix))
                .map(
                    response ->
                        etcd()
                            .decodePage(response.status(), response.headers(), response.body())
                            .entries()));
  }

  /**
   * Acquires a task under a new lease and returns the lease's id; returns 0 if another candidate
   * was first.
   */
  Future<Long> campaign(
      String task, RegistryRecord.Task candidate, long modRevision, long ttlSeconds) {
    RegistryProtocol.Write term =
        RegistryProtocol.Write.put(
            prefix + RecordCodec.TASKS_PREFIX + task, candidate, modRevision);
    RegistryProtocol.Write owner =
        RegistryProtocol.Write.put(prefix + RecordCodec.OWNERS_PREFIX + task, candidate, 0);
    return requests
        .firstReachable()
        .compose(
            endpoint ->
                grant(endpoint, ttlSeconds)
                    .compose(leaseId -> campaign(endpoint, term, owner, leaseId)));
  }

  private Future<Long> campaign(
      int endpoint, RegistryProtocol.Write term, RegistryProtocol.Write owner, long leaseId) {
    return requests
        .send(endpoint, etcd().campaignRequest(term, owner, leaseId))
        .map(response -> etcd().isCommitted(response.status(), response.body()) ? leaseId : 0L);
  }

  /** Renews a lease; returns false if it has expired. */
  Future<Boolean> renew(long leaseId) {
    return requests.fromFirstResponding(
        endpoint ->
            requests
                .send(endpoint, EtcdLeases.renewalRequest(leaseId))
                .map(response -> EtcdLeases.decodeRenewal(response.body())));
  }

  /** Revokes a lease. */
  Future<Void> revoke(long leaseId) {
    return requests.fromFirstResponding(
        endpoint -> requests.send(endpoint, EtcdLeases.revokeRequest(leaseId)).mapEmpty());
  }
}
