package org.amberpath.gateway.testsupport;

/** Handles the commands that a {@link StubCache} receives. */
public interface CommandHandler {
  /** Handles one command; an exception ends the handling of that command only. */
  void handle(ReceivedCommand command) throws Exception;
}
