/**
 * Endpoints, drains and purges from the journal service: the long poll and the decoding of its
 * replies. All of it runs on the event loop of the gateway.
 */
package org.amberpath.gateway.discovery;
