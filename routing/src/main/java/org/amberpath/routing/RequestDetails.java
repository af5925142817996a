package org.amberpath.routing;

/**
 * A request as the router receives it.
 *
 * @param id number of the request at this gateway
 * @param trafficClass index of its traffic class
 * @param object id of the requested object
 * @param group the object's purge group
 * @param part index of the requested part of the object, from 0
 * @param timeLeftNanos time until the client's deadline, in nanoseconds
 * @param kilobytes size of the response; 0 if it is unknown
 * @param neverCached whether the response must not be cached, whatever the traffic class allows
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
