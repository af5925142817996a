package org.amberpath.gateway.testsupport;

/** A command and when it was received. */
public record TimedCommand(ReceivedCommand command, long atNanos) {}
