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
  /** This host is short of descriptors, buffers or memory: nothing was asked of the endpoint. */
  LOCAL_RESOURCE(true),
  /** This host has no address, port or route to connect from: nothing was asked of the endpoint. */
  LOCAL_NETWORK(true),
  /** The endpoint's host answered that nobody listens there. */
  REFUSED(false),
  /** No answer came in time. */
  TIMED_OUT(false),
  /** The network answered that the endpoint's host can't be reached. */
  UNREACHABLE(false),
  /** Whatever else; it is held against the endpoint. */
  OTHER(false);

  private static final int MAX_CAUSES = 16;

  /** What the system says of EMFILE and ENFILE, ENOBUFS, ENOMEM, EAGAIN, EPERM, EINTR. */
  private static final List<String> RESOURCE_TEXTS =
      List.of(
          "too many open files",
          "no buffer space available",
          "cannot allocate memory",
          "resource temporarily unavailable",
          "operation not permitted",
          "interrupted system call");

  /** The same of EADDRNOTAVAIL, EADDRINUSE, ENETUNREACH, ENETDOWN. */
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

  /** Whether it says nothing of the endpoint, since the attempt never left this host. */
  public boolean isLocal() {
    return local;
  }

  /**
   * Classifies a failed connect by the first cause that says why; libraries wrap causes and append
   * addresses.
   */
  public static ConnectFailure of(Throwable failure) {
    Throwable cause = failure;
    for (int depth = 0; cause != null && depth < MAX_CAUSES; depth++) {
      ConnectFailure kind = ofOne(cause);
      if (kind != OTHER) {
        return kind;
      }
      cause = cause.getCause();
    }
    return OTHER;
  }

  private static ConnectFailure ofOne(Throwable cause) {
    String text = String.valueOf(cause.getMessage()).toLowerCase(Locale.ROOT);
    if (cause instanceof OutOfMemoryError || says(text, RESOURCE_TEXTS)) {
      return LOCAL_RESOURCE;
    } else if (cause instanceof BindException || says(text, NETWORK_TEXTS)) {
      return LOCAL_NETWORK;
    } else if (cause instanceof NoRouteToHostException || says(text, UNREACHABLE_TEXTS)) {
      return UNREACHABLE;
    } else if (cause instanceof SocketTimeoutException || text.contains("timed out")) {
      return TIMED_OUT;
    }
    return text.contains("connection refused") ? REFUSED : OTHER;
  }

  private static boolean says(String text, List<String> any) {
    return any.stream().anyMatch(text::contains);
  }
}
