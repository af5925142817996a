package org.amberpath.routing;

/**
 * A request as it arrives.
 *
 * @param id number of the request at this gateway
 * @param trafficClass index of its traffic class
 * @param object id of the object
 * @param group the object's purge group
 * @param part the object's part that is asked for, from 0
 * @param timeLeftNanos how long its client still waits
 * @param kilobytes its size; 0 where that is not known
 * @param neverCached whether its answer must not be cached, whatever its traffic class says
 */
public record RequestDetails(
    long id,
    int trafficClass,
    long object,
    int group,
    int part,
    long timeLeftNanos,
    double kilobytes,
    boolean neverCached) {}
