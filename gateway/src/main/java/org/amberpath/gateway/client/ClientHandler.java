package org.amberpath.gateway.client;

/** Takes what clients say. */
public interface ClientHandler {
  /** Whether one more GET is taken now; one that is not is shed before the rest of it is read. */
  boolean takes();

  /** How long a client that is shed so is asked to stay away, in nanoseconds; 0 for no advice. */
  long away();

  /**
   * A GET that can be read; the client's number for it is open until it is answered or withdrawn.
   */
  void get(ClientConnection from, long number, DecodedRequest get);

  void withdrawn(ClientConnection from, long number);

  /** Whether clients may come. */
  boolean ready();

  /** The client broke the protocol: nothing more of it is returned. */
  void broken(ClientConnection from, String why);

  /** The connection takes and brings nothing more, and with it is gone all that was open on it. */
  void closed(ClientConnection from);

  /** Its descriptor is free again. */
  void released(ClientConnection from);
}
