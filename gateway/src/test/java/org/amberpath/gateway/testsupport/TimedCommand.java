package org.amberpath.gateway.testsupport;

/**
 * A command and its time of receipt.
 *
 * @param atNanos {@link System#nanoTime()} when the command was taken from the cache's queue
 */
public record TimedCommand(ReceivedCommand command, long atNanos) {}
