package org.amberpath.membership.runtime;

import org.amberpath.membership.MemberUpdate;

/**
 * A message from the {@link FleetMessageHandler} of one member to that of another, sent as one
 * datagram.
 *
 * @param sender the sender's update about itself
 * @param recipientInstanceId the instance id of the process that the message is addressed to
 * @param sequenceNumber increases with each datagram of the sender
 * @param body at most {@link DatagramCodec#MAX_PAYLOAD_BYTES} bytes
 */
@SuppressWarnings("ArrayRecordComponent") // Messages are never compared.
public record UserMessage(
    MemberUpdate sender, long recipientInstanceId, long sequenceNumber, byte[] body) {}
