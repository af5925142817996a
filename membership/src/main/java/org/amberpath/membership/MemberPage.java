package org.amberpath.membership;

import java.util.List;

/**
 * A part of the list of members.
 *
 * @param updates what is held of each, ordered by name
 * @param hasMore whether the list goes on after it
 */
record MemberPage(List<MemberUpdate> updates, boolean hasMore) {}
