package org.amberpath.gateway.client;

/**
 * A validated request of a client.
 *
 * @param trafficClass name of the traffic class (the RPC method)
 * @param requestId the request's id, 16 hex digits
 * @param objectName id of the object, 16 hex digits
 * @param partName number of the part in decimal, as received
 * @param knownTag entity tag of the copy that the client holds, 16 hex digits; empty for none
 * @param idempotencyKey key by which repeated requests are recognised, at most 64 printable
 *     characters; empty for none
 * @param body the body, at most {@link ClientConnection#MAX_BODY_BYTES}; may be empty
 * @param objectId the value of objectName, as an unsigned 64-bit number
 * @param partNumber the value of partName
 * @param purgeGroup group by which the object can be purged, 0 to 255
 * @param timeoutNanos how long the client waits for the response, in nanoseconds; at least 1 ms
 * @param sizeKb expected size of the response in KB; 0 if unknown
 */
public record DecodedRequest(
    String trafficClass,
    ByteString requestId,
    ByteString objectName,
    ByteString partName,
    ByteString knownTag,
    ByteString idempotencyKey,
    ByteString body,
    long objectId,
    int partNumber,
    int purgeGroup,
    long timeoutNanos,
    double sizeKb) {}
