package org.amberpath.gateway.client;

/**
 * What a client asked for. The arrays are the bytes that came; known, token and body may be empty.
 *
 * @param allow how long the client waits, in nanoseconds
 * @param kb size as it is counted, 0 where it is not told
 */
public record DecodedRequest(
    String service,
    byte[] ref,
    byte[] object,
    byte[] part,
    byte[] known,
    byte[] token,
    byte[] body,
    long objectId,
    int partNumber,
    int group,
    long allow,
    double kb) {}
