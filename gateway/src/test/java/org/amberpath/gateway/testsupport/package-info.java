/**
 * Fixtures of the gateway's tests. The entry point is {@link
 * org.amberpath.gateway.testsupport.GatewayTestbed}, which surrounds one gateway on loopback with
 * test clients, stub caches and a stub journal. Others start gateways in separate processes, and
 * routers that block the event loop or record events. Methods of the fixtures block the calling
 * thread; background work runs on threads of the testbed.
 */
package org.amberpath.gateway.testsupport;
