/**
 * Fixtures of the gateway's tests: stand-ins for clients, caches and the journal around one gateway
 * on loopback ({@link org.amberpath.gateway.testsupport.GatewayTestbed}, where to begin), gateways
 * in processes of their own, and routers that pause or record. Stand-ins block the calling thread;
 * what they do by themselves runs on threads of the testbed.
 */
package org.amberpath.gateway.testsupport;
