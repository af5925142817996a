/**
 * Real gateways as processes, among stand-in caches, a journal, clients, and a relay on every link
 * between two gateways; a judge of the rules over all of them.
 *
 * <p>Called by experiments and tests from one thread of their own; stand-ins, relays and clients
 * run on one event loop. Begin with {@link org.amberpath.lab.testbed.ProcessTestbed}.
 */
package org.amberpath.lab.testbed;
