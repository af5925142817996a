package org.amberpath.membership.runtime;

import org.amberpath.membership.MemberUpdate;

/**
 * What one member's {@link FleetMessageHandler} sends to another's by way of the fleet's datagrams.
 *
 * @param sender the sender's own update
 * @param recipientInstanceId the process that it is meant for
 * @param sequenceNumber rises with each datagram of its sender
 * @param body at most {@link DatagramCodec#MAX_PAYLOAD_BYTES} bytes
 */
@SuppressWarnings("ArrayRecordComponent") // Handed over, never compared.
public record UserMessage(
    MemberUpdate sender, long recipientInstanceId, long sequenceNumber, byte[] body) {}
