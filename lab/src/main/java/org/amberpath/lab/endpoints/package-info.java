/**
 * Measures the resource usage of a real gateway at the usual number of endpoints and at a multiple
 * of that number.
 *
 * <p>Called by {@code lab endpoints-size} on a thread of its own. Start reading at {@link
 * org.amberpath.lab.endpoints.EndpointsSizeExperiment}.
 */
package org.amberpath.lab.endpoints;
