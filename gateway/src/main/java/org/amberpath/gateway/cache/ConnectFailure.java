package org.amberpath.gateway.cache;

import java.net.BindException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Locale;

/**
 * The reason why a connect failed. This is the only place that classifies the exceptions that the
 * JDK and Netty throw.
 */
public enum ConnectFailure {
  /** This host lacks descriptors, buffers or memory; no packet reached the endpoint. */
  LOCAL_RESOURCE(true),
  /** This host has no address, port or route for the connect; no packet reached the endpoint. */
  LOCAL_NETWORK(true),
  /** The endpoint's host rejected the connect because no process listens on the port. */
  REFUSED(false),
  /** The connect timed out. */
  TIMED_OUT(false),
  /** The network reported that the endpoint's host is unreachable. */
  UNREACHABLE(false),
  /** Any other failure; it is attributed to the endpoint. */
  OTHER(false);

  private static final int MAX_CAUSE_DEPTH = 16;

  /** Messages of the system for EMFILE and ENFILE, ENOBUFS, ENOMEM, EAGAIN, EPERM, EINTR. */
  private static final List<String> LOCAL_RESOURCE_MESSAGES =
      List.of(
          "too many open files",
          "no buffer space available",
          "cannot allocate memory",
          "resource temporarily unavailable",
          "operation not permitted",
          "interrupted system call");

  /** Messages of the system for EADDRNOTAVAIL, EADDRINUSE, ENETUNREACH, ENETDOWN. */
  private static final List<String> LOCAL_NETWORK_MESSAGES =
      List.of(
          "cannot assign requested address",
          "address already in use",
          "network is unreachable",
          "network is down");

  private static final List<String> UNREACHABLE_MESSAGES =
      List.of("no route to host", "host is down", "host is unreachable");

  private final boolean local;

  ConnectFailure(boolean local) {
    this.local = local;
  }

  /** Returns whether the connect failed on this host, so that the endpoint is not at fault. */
  public boolean isLocal() {
    return local;
  }

  /**
   * Classifies a failed connect by the first recognised exception in its chain of causes. Messages
   * are searched for known texts, since libraries append addresses to them.
   */
  public static ConnectFailure of(Throwable failure) {
    Throwable cause = failure;
    for (int depth = 0; cause != null && depth < MAX_CAUSE_DEPTH; depth++) {
      ConnectFailure kind = classify(cause);
      if (kind != OTHER) {
        return kind;
      }
      cause = cause.getCause();
    }
    return OTHER;
  }

  private static ConnectFailure classify(Throwable cause) {
    String message = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
    if (cause instanceof OutOfMemoryError || containsAny(message, LOCAL_RESOURCE_MESSAGES)) {
      return LOCAL_RESOURCE;
    } else if (cause instanceof BindException || containsAny(message, LOCAL_NETWORK_MESSAGES)) {
      return LOCAL_NETWORK;
    } else if (cause instanceof NoRouteToHostException
        || containsAny(message, UNREACHABLE_MESSAGES)) {
      return UNREACHABLE;
    } else if (cause instanceof SocketTimeoutException || message.contains("timed out")) {
      return TIMED_OUT;
    }
    return message.contains("connection refused") ? REFUSED : OTHER;
  }

  private static boolean containsAny(String message, List<String> fragments) {
    return fragments.stream().anyMatch(message::contains);
  }
}
