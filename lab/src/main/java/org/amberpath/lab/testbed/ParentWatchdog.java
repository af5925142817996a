package org.amberpath.lab.testbed;

import java.io.IOException;
import java.lang.reflect.Method;

/**
 * Runs the main method of a program and halts the process when its standard input ends, which
 * happens when the parent process ends. Guards against gateways that outlive their testbed, however
 * the testbed ends.
 */
public final class ParentWatchdog {
  private ParentWatchdog() {}

  /**
   * Runs a program.
   *
   * @param args the name of the class whose main method is run, then the arguments of that method
   */
  public static void main(String[] args) throws Exception {
    Thread watcher =
        new Thread(
            () -> {
              try {
                while (System.in.read() >= 0) {
                  // read() in the loop condition blocks until the input ends.
                }
              } catch (IOException e) {
                // A failing read means that the parent has ended, too.
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
