/**
 * A testbed of real gateway processes among stand-in caches, a journal, clients, and a relay on
 * each link between two gateways, with an auditor that checks the service rules over all of them.
 *
 * <p>Experiments and tests call it from one thread of their own; stand-ins, relays and clients run
 * on one event loop. Start reading at {@link org.amberpath.lab.testbed.ProcessTestbed}.
 */
package org.amberpath.lab.testbed;
