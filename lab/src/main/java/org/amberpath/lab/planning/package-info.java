/**
 * Model of planners that grant quotas and forwarders that hold them, on a virtual clock.
 *
 * <p>Called by {@code lab planners-model}; one thread per run. Start reading at {@code
 * PlannersModel}.
 */
package org.amberpath.lab.planning;
