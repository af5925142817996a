/**
 * Endpoints, drains and purges from the journal service: the long poll ({@link
 * org.amberpath.gateway.discovery.JournalClient}, where to begin), the decoding of its replies, and
 * the {@link org.amberpath.gateway.discovery.Clock} by which the age of what they state is judged.
 * Called by the gateway's lifecycle, on the event loop.
 */
package org.amberpath.gateway.discovery;
