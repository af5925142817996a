package org.amberpath.gateway.settings;

import io.vertx.core.net.SocketAddress;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * Parses the {@code host:port} addresses of settings and endpoint lists. Hosts must be numeric IPv4
 * or IPv6 addresses, so that parsing never makes a DNS lookup.
 */
public final class NumericAddress {
  private static final int PORT_COUNT = 1 << 16;
  private static final Pattern NUMERIC_HOST = Pattern.compile("[0-9a-fA-F.:]+");

  private NumericAddress() {}

  /**
   * Parses an address and returns it as a resolved socket address.
   *
   * @param key the name of the setting or field, with which the message of the exception begins
   * @param text an IPv4 or IPv6 address, a colon and a port from 0 to 65535; an IPv6 address may
   *     stand in brackets
   * @throws InvalidDocumentException if the text is not such an address
   */
  public static SocketAddress parse(String key, String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon).replace("[", "").replace("]", "");
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (NUMERIC_HOST.matcher(host).matches() && port >= 0 && port < PORT_COUNT) {
        return SocketAddress.inetSocketAddress(
            new InetSocketAddress(InetAddress.getByName(host), port));
      }
    } catch (NumberFormatException | UnknownHostException e) {
      // Reported below, like an invalid port or host.
    }
    throw new InvalidDocumentException(key + " no address:port: " + text);
  }
}
