/**
 * Experiments, and the parts they share: the testbed of one gateway on loopback ({@link
 * org.amberpath.lab.LoopbackTestbed}), stand-in caches, an open-loop load generator, settings and
 * the report of an experiment.
 *
 * <p>Called by the {@code lab} commands and by tests on a thread of their own. Stand-ins and
 * clients run on an event loop; {@link org.amberpath.lab.EventLoopWaiter} blocks the calling thread
 * on it. Start reading at {@link org.amberpath.lab.Demo}.
 */
package org.amberpath.lab;
