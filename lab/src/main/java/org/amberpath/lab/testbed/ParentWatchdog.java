package org.amberpath.lab.testbed;

import java.io.IOException;
import java.lang.reflect.Method;

/**
 * Runs a program's main method, and ends the process when the process that started it is gone: no
 * gateway outlives its testbed, however that ends.
 */
public final class ParentWatchdog {
  private ParentWatchdog() {}

  /** The class whose main is run, then its own arguments. */
  public static void main(String[] args) throws Exception {
    Thread watcher =
        new Thread(
            () -> {
              try {
                while (System.in.read() >= 0) {
                  // The condition does the work.
                }
              } catch (IOException e) {
                // Gone, too.
              }
              Runtime.getRuntime().halt(1);
            },
            "parent watchdog");
    watcher.setDaemon(true);
    watcher.start();
    Method main = Class.forName(args[0]).getMethod("main", String[].class);
    main.invoke(null, (Object) java.util.Arrays.copyOfRange(args, 1, args.length));
  }
}
