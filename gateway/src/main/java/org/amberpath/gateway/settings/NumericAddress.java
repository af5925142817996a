package org.amberpath.gateway.settings;

import io.vertx.core.net.SocketAddress;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Addresses in settings and in lists of endpoints: numeric, so that nothing is ever looked up. */
public final class NumericAddress {
  private static final int PORTS = 1 << 16;
  private static final Pattern NUMERIC_HOST = Pattern.compile("[0-9a-fA-F.:]+");

  private NumericAddress() {}

  /**
   * An address and port, already resolved.
   *
   * @param key what the address is in the message of the exception
   * @throws InvalidDocumentException if it is neither an IPv4 nor an IPv6 address with a port
   */
  public static SocketAddress parse(String key, String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon).replace("[", "").replace("]", "");
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (NUMERIC_HOST.matcher(host).matches() && port >= 0 && port < PORTS) {
        return SocketAddress.inetSocketAddress(
            new InetSocketAddress(InetAddress.getByName(host), port));
      }
    } catch (NumberFormatException | UnknownHostException e) {
      // The message below covers it.
    }
    throw new InvalidDocumentException(key + " no address:port: " + text);
  }
}
