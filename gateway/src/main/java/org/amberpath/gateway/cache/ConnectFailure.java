package org.amberpath.gateway.cache;

import java.net.BindException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Locale;

/**
 * Why a connection did not come up, classified here and nowhere else from the exceptions that Java
 * gives.
 */
public enum ConnectFailure {
  /** This host is short of descriptors, buffers or memory: the endpoint was not reached. */
  LOCAL_RESOURCE(true),
  /** This host has no address, port or route to connect from: the endpoint was not reached. */
  LOCAL_NETWORK(true),
  /** The endpoint's host answered that no process listens there. */
  REFUSED(false),
  /** No answer came in time. */
  TIMED_OUT(false),
  /** The network answered that the endpoint's host can't be reached. */
  UNREACHABLE(false),
  /** Any other failure; it counts as a fault of the endpoint. */
  OTHER(false);

  private static final int MAX_CAUSES = 16;

  /** The system's messages for EMFILE and ENFILE, ENOBUFS, ENOMEM, EAGAIN, EPERM, EINTR. */
  private static final List<String> RESOURCE_TEXTS =
      List.of(
          "too many open files",
          "no buffer space available",
          "cannot allocate memory",
          "resource temporarily unavailable",
          "operation not permitted",
          "interrupted system call");

  /** The same for EADDRNOTAVAIL, EADDRINUSE, ENETUNREACH, ENETDOWN. */
  private static final List<String> NETWORK_TEXTS =
      List.of(
          "cannot assign requested address",
          "address already in use",
          "network is unreachable",
          "network is down");

  private static final List<String> UNREACHABLE_TEXTS =
      List.of("no route to host", "host is down", "host is unreachable");

  private final boolean local;

  ConnectFailure(boolean local) {
    this.local = local;
  }

  /** Whether it is no fault of the endpoint, since the attempt never left this host. */
  public boolean isLocal() {
    return local;
  }

  /**
   * Classifies a failed connect by the first cause that is known; libraries wrap causes and append
   * addresses.
   */
  public static ConnectFailure of(Throwable failure) {
    Throwable cause = failure;
    for (int depth = 0; cause != null && depth < MAX_CAUSES; depth++) {
      ConnectFailure kind = classify(cause);
      if (kind != OTHER) {
        return kind;
      }
      cause = cause.getCause();
    }
    return OTHER;
  }

  private static ConnectFailure classify(Throwable cause) {
    String text = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
    if (cause instanceof OutOfMemoryError || containsAny(text, RESOURCE_TEXTS)) {
      return LOCAL_RESOURCE;
    } else if (cause instanceof BindException || containsAny(text, NETWORK_TEXTS)) {
      return LOCAL_NETWORK;
    } else if (cause instanceof NoRouteToHostException || containsAny(text, UNREACHABLE_TEXTS)) {
      return UNREACHABLE;
    } else if (cause instanceof SocketTimeoutException || text.contains("timed out")) {
      return TIMED_OUT;
    }
    return text.contains("connection refused") ? REFUSED : OTHER;
  }

  private static boolean containsAny(String text, List<String> fragments) {
    return fragments.stream().anyMatch(text::contains);
  }
}
