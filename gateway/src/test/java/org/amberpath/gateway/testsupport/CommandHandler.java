package org.amberpath.gateway.testsupport;

/** What a cache does with each command. */
public interface CommandHandler {
  /** Handles one command. */
  void handle(ReceivedCommand command) throws Exception;
}
