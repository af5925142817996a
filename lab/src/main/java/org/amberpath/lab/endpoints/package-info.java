/**
 * What a real gateway needs at the usual number of endpoints and at many times as many.
 *
 * <p>Called by {@code lab endpoints-size} on its own thread. Begin with {@link
 * org.amberpath.lab.endpoints.EndpointsSizeExperiment}.
 */
package org.amberpath.lab.endpoints;
