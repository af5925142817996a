package org.amberpath.registry;

import java.util.ArrayList;
import java.util.List;

/** A list that is read by pages, all at the revision of the first one. */
final class ListCall extends RegistryCall {
  /** Whether it reads all keys; otherwise those that were written since a revision. */
  final boolean readsAllKeys;

  /** Only keys written at this revision or later; 0 for all. */
  final long sinceRevision;

  /** How many keys a page may hold. */
  final int pageSize;

  final List<RegistryEntry> entries = new ArrayList<>();

  /** When the page that is waited for was requested. */
  long pageRequestedAtNanos;

  /** The revision that is read at; 0 before the first page. */
  long revision;

  String clusterId = "";

  /** How many keys there are in all; negative where pages bring all keys whatever was asked for. */
  long totalCount;

  ListCall(Start start, long timeoutNanos, boolean readsAllKeys, long sinceRevision, int pageSize) {
    super(start, timeoutNanos);
    this.readsAllKeys = readsAllKeys;
    this.sinceRevision = sinceRevision;
    this.pageSize = pageSize;
    pageRequestedAtNanos = sentAtNanos;
  }

  @Override
  Kind kind() {
    return Kind.LIST;
  }
}
