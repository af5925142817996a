/**
 * Experiments, and what they share: a gateway among stand-ins on loopback ({@link
 * org.amberpath.lab.LoopbackTestbed}), stand-in caches, clients that send on a schedule, settings
 * and the report of an experiment.
 *
 * <p>Called by the {@code lab} commands and by tests, on a thread of their own; stand-ins and
 * clients run on an event loop, which {@link org.amberpath.lab.EventLoopWaiter} waits for. Begin
 * with {@link org.amberpath.lab.Demo}.
 */
package org.amberpath.lab;
