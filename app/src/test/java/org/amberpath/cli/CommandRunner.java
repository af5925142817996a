package org.amberpath.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine;

/** Runs commands in this process and captures their exit code, standard output and error. */
final class CommandRunner {
  /** What a command has printed and returned. */
  record Result(int exitCode, String out, String err) {}

  private CommandRunner() {}

  static Result run(String... args) {
    PrintStream originalOut = System.out;
    PrintStream originalErr = System.err;
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
    try {
      CommandLine commandLine = AmberpathCommand.commandLine();
      commandLine.setErr(new PrintWriter(err, true, StandardCharsets.UTF_8));
      int exitCode = commandLine.execute(args);
      return new Result(
          exitCode, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(originalOut);
      System.setErr(originalErr);
    }
  }
}
