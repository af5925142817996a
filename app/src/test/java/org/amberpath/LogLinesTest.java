package org.amberpath;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that docs/oncall.md has a row for each log call of the sources and no row without a log
 * call. Rows are matched by class, level and constant text, which is the text outside of {@code
 * <...>} without whitespace and square brackets.
 */
class LogLinesTest {
  private static final Path ROOT = Path.of("..");
  private static final Pattern TABLE_ROW =
      Pattern.compile("(?m)^\\| `([^`]+)` \\| `(\\w+)` \\| ([A-Z]+) \\| (.+?) \\| (.+?) \\|$");

  /** A row of the table in docs/oncall.md. */
  private record Row(String pattern, String type, String level, String meaning, String action) {
    boolean describes(LogCallScanner.Call call) {
      String key = LogCallScanner.key(pattern);
      return type.equals(call.type())
          && level.equals(call.level())
          && (key.equals(call.key())
              || (call.hasOpenPrefix() && key.replaceFirst("^\\w+:", "").equals(call.key())));
    }
  }

  private static Set<LogCallScanner.Call> logCalls() throws IOException {
    try (Stream<Path> modules = Files.list(ROOT)) {
      return LogCallScanner.inFolders(
          modules
              .map(module -> module.resolve("src").resolve("main").resolve("java"))
              .filter(Files::isDirectory)
              .sorted()
              .collect(Collectors.toList()));
    }
  }

  private static List<Row> rows() throws IOException {
    String page = Files.readString(ROOT.resolve("docs").resolve("oncall.md"));
    List<Row> rows = new ArrayList<>();
    Matcher row = TABLE_ROW.matcher(page);
    while (row.find()) {
      rows.add(new Row(row.group(1), row.group(2), row.group(3), row.group(4), row.group(5)));
    }
    return rows;
  }

  @Test
  void everyLogCallHasARowOnTheOnCallPage() throws IOException {
    List<Row> rows = rows();

    String missing =
        logCalls().stream()
            .filter(call -> rows.stream().noneMatch(row -> row.describes(call)))
            .map(LogCallScanner.Call::rowToComplete)
            .collect(Collectors.joining("\n"));

    assertEquals("", missing, "rows to complete and add to docs/oncall.md");
  }

  @Test
  void everyRowOfTheOnCallPageDescribesALogCall() throws IOException {
    Set<LogCallScanner.Call> calls = logCalls();

    String stale =
        rows().stream()
            .filter(row -> calls.stream().noneMatch(row::describes))
            .map(row -> "| `" + row.pattern() + "` | `" + row.type() + "` | " + row.level())
            .collect(Collectors.joining("\n"));

    assertEquals("", stale, "rows of docs/oncall.md that no log call writes any more");
  }

  @Test
  void everyRowSaysWhatTheLineMeansAndWhatToDo() throws IOException {
    assertFalse(rows().isEmpty());
    for (Row row : rows()) {
      assertFalse(row.meaning().contains("?"), row.pattern());
      assertFalse(row.action().contains("?"), row.pattern());
    }
  }

  @Test
  void callIsFoundAcrossLineWrapsAndOutsideOfComments() {
    Set<LogCallScanner.Call> calls =
        LogCallScanner.inText(
            "Sample",
            """
            class Sample {
              private static final Logger LOG = Logger.getLogger("x");
              // LOG.info("in a comment");
              /* LOG.info("in another"); */
              String notACall = "LOG.info(\\"in a literal\\")";
              void run(int port) {
                LOG
                    .warning(
                        name + ": listens"
                            + " at (port " // a comment with a "literal"
                            + port + ")");
                LOG.log(Level.SEVERE, "a request failed", e);
              }
            }
            """);

    assertEquals(
        Set.of(
            new LogCallScanner.Call(
                "Sample", "WARNING", List.of(": listens", " at (port ", ")"), false),
            new LogCallScanner.Call("Sample", "SEVERE", List.of("a request failed"), false)),
        calls);
  }

  @Test
  void callsOfAWrapperAreFoundInsteadOfTheWrapper() {
    Set<LogCallScanner.Call> calls =
        LogCallScanner.inText(
            "Sample",
            """
            class Sample {
              private static final Logger LOG = Logger.getLogger("x");
              private void say(String line) {
                LOG.info("gateway: " + line.substring(0, 200));
              }
              void run(Consumer<String> log) {
                say("has started");
                log.accept("has ended");
              }
            }
            """);

    assertEquals(
        Set.of(
            new LogCallScanner.Call("Sample", "INFO", List.of("gateway: ", "has started"), false),
            new LogCallScanner.Call("Sample", "INFO", List.of("has ended"), true)),
        calls);
  }

  @Test
  void wrapperThatAddsTextIsTheLogCallAtAnyNestingDepth() {
    Set<LogCallScanner.Call> calls =
        LogCallScanner.inText(
            "Sample",
            """
            class Sample {
              private static final Logger LOG = Logger.getLogger("x");
              private void event(String text) {
                LOG.info(prefix + text);
              }
              private void change(String text) {
                event(text);
              }
              void lost(String member) {
                change("lost member=" + member);
              }
              void run(String name) {
                lost(name);
              }
            }
            """);

    assertEquals(
        Set.of(new LogCallScanner.Call("Sample", "INFO", List.of("lost member="), false)), calls);
  }

  @Test
  void rowWithOtherConstantTextDoesNotDescribeACall() {
    LogCallScanner.Call call =
        new LogCallScanner.Call("Sample", "INFO", List.of(": has started in ", " ms"), false);

    assertTrue(row("<gateway>: has started in <n> ms").describes(call));
    assertTrue(row("<gateway>: [has started] in <n> ms").describes(call));
    assertFalse(row("<gateway>: has ended in <n> ms").describes(call));
    assertFalse(row("<gateway>: has started").describes(call));
  }

  private static Row row(String pattern) {
    return new Row(pattern, "Sample", "INFO", "it has started", "nothing");
  }
}
