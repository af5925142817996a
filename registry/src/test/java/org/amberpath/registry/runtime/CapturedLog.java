package org.amberpath.registry.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Captures the log lines of {@link RegistryLog}, level first, until it is closed. */
final class CapturedLog extends Handler {
  private static final Logger LOG = Logger.getLogger(RegistrySource.class.getName());

  final List<String> lines = new ArrayList<>();

  CapturedLog() {
    LOG.addHandler(this);
  }

  @Override
  public void publish(LogRecord line) {
    lines.add(line.getLevel() + " " + line.getMessage());
  }

  @Override
  public void flush() {}

  @Override
  public void close() {
    LOG.removeHandler(this);
  }
}
