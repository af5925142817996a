/**
 * Service discovery through the journal service, which reports endpoints, drains and purges. The
 * entry point is the long-polling {@link org.amberpath.gateway.discovery.JournalClient}; {@link
 * org.amberpath.gateway.discovery.JournalDecoder} decodes its replies, and {@link
 * org.amberpath.gateway.discovery.Clock} computes the age of timestamped events. The gateway's
 * lifecycle calls this package on the event loop.
 */
package org.amberpath.gateway.discovery;
