package org.amberpath.membership;

import java.util.List;

/**
 * One page of the member list.
 *
 * @param updates the current update about each member of the page, ordered by name
 * @param hasMore whether the list continues after this page
 */
record MemberPage(List<MemberUpdate> updates, boolean hasMore) {}
