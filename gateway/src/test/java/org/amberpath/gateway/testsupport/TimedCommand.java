package org.amberpath.gateway.testsupport;

/** A want and when it had come. */
public record TimedCommand(ReceivedCommand command, long atNanos) {}
