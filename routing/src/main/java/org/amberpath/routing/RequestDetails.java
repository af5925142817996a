package org.amberpath.routing;

/**
 * A request as it arrives.
 *
 * @param trafficClass index of its delivery service
 * @param part the object's part that is asked for, from 0
 * @param timeLeftNanos how long its viewer still waits
 * @param kilobytes its size; 0 where that is not known
 */
record RequestDetails(
    long id,
    int trafficClass,
    long object,
    int group,
    int part,
    long timeLeftNanos,
    double kilobytes) {}
