/**
 * RESP to caches: a pool of connections for each cache, commands out, replies in. Which cache gets
 * which command is decided elsewhere. All of it runs on the event loop of the gateway.
 */
package org.amberpath.gateway.cache;
