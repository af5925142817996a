package org.amberpath.registry;

import java.util.ArrayList;
import java.util.List;

/** A list that is read page by page, all at the revision of the first page. */
final class ListCall extends RegistryCall {
  /** Whether all keys are read; otherwise those written since a revision. */
  final boolean readsAllKeys;

  /** Only keys written at this revision or later are read; 0 for all. */
  final long sinceRevision;

  /** Maximum number of keys per page. */
  final int pageSize;

  final List<RegistryEntry> entries = new ArrayList<>();

  /** When the outstanding page was requested. */
  long pageRequestedAtNanos;

  /** The revision at which the list is read; 0 before the first page. */
  long revision;

  String clusterId = "";

  /** Total number of keys; negative if a page always holds all keys, whatever was requested. */
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
