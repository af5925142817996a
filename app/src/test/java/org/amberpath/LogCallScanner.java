package org.amberpath;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Finds the log calls in Java sources and the constant text of their messages. A log call is a call
 * of a {@code Logger}, a call of a {@code Consumer<String>} whose name marks it as a log, or a call
 * of a wrapper: a method that passes a {@code String} parameter on to a log call and adds at most a
 * component name before the parameter. Line wraps and comments are ignored.
 */
final class LogCallScanner {
  private static final Pattern METHOD_DECLARATION =
      Pattern.compile(
          "\\b(?!if|for|while|switch|catch|try|synchronized)(\\w+)\\(([^(){};]*)\\)"
              + "\\s*(?:throws [\\w., ]+)?\\{");

  private static final Pattern STRING_PARAMETER = Pattern.compile("\\bString (\\w+)");
  private static final Pattern LOGGER_DECLARATION = Pattern.compile("\\bLogger (\\w+)\\b");
  private static final Pattern LOG_CONSUMER_DECLARATION =
      Pattern.compile("\\bConsumer<String> (\\w*(?:[lL]og|notes|complaints)\\w*)\\b");
  private static final Pattern LEVEL_CONSTANT = Pattern.compile("\\bLevel\\.(\\w+)");
  private static final String LOGGER_METHODS = "info|warning|severe|config|fine|finer|finest|log";

  /** The constant text that a wrapper may add before the message: at most a component name. */
  private static final Pattern COMPONENT_PREFIX = Pattern.compile("\\W*(?:\\w+:\\s*)?");

  /** Upper bound on the nesting depth of wrappers. */
  private static final int MAX_WRAPPERS = 3;

  /**
   * A log call.
   *
   * @param type the simple name of the class whose file holds it
   * @param level the name of the java.util.logging level
   * @param texts the string literals of its message, in order, those of wrappers first
   * @param hasOpenPrefix whether the called consumer may add a component name before the message
   */
  record Call(String type, String level, List<String> texts, boolean hasOpenPrefix) {
    /** Returns the constant text by which a call and its row in docs/oncall.md are compared. */
    String key() {
      return LogCallScanner.key(String.join("", texts));
    }

    /** Returns a row for docs/oncall.md in which meaning and action remain to be filled in. */
    String rowToComplete() {
      String pattern = "<x>" + String.join("<x>", texts) + "<x>";
      return "| `" + pattern + "` | `" + type + "` | " + level + " | ? | ? |";
    }
  }

  /** A method that passes its argument on to a log call. */
  private record Wrapper(String type, String method, String level, List<String> texts) {}

  /** A call in a file, with the start and end offsets of its arguments. */
  private record CallSite(Source source, int start, int end, String level, List<String> texts) {
    List<String> ownTexts() {
      return source.literals(start, end);
    }

    List<String> allTexts() {
      List<String> all = new ArrayList<>(texts);
      all.addAll(ownTexts());
      return all;
    }
  }

  private final List<Source> sources;
  private final Set<Call> calls = new LinkedHashSet<>();

  private LogCallScanner(List<Source> sources) {
    this.sources = sources;
  }

  /** Returns the log calls in all Java files below the folders. */
  static Set<Call> inFolders(List<Path> folders) throws IOException {
    List<Source> sources = new ArrayList<>();
    for (Path folder : folders) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file :
            files
                .filter(path -> path.toString().endsWith(".java"))
                .sorted()
                .collect(Collectors.toList())) {
          sources.add(
              new Source(
                  file.getFileName().toString().replace(".java", ""), Files.readString(file)));
        }
      }
    }
    return new LogCallScanner(sources).scan();
  }

  /** Returns the log calls in one file. */
  static Set<Call> inText(String type, String text) {
    return new LogCallScanner(List.of(new Source(type, text))).scan();
  }

  /**
   * Removes the parts that vary between calls or are optional in a row: placeholders, format
   * specifiers, whitespace and square brackets.
   */
  static String key(String text) {
    return text.replaceAll("<[a-z][a-z0-9 ,'-]*>", "")
        .replaceAll("%[-#+0-9.,]*[a-zA-Z]|\\{\\d*}", "")
        .replaceAll("[\\s\\[\\]]", "");
  }

  private Set<Call> scan() {
    List<Wrapper> wrappers = new ArrayList<>();
    for (Source source : sources) {
      for (String logger : source.declaredNames(LOGGER_DECLARATION)) {
        Matcher call =
            Pattern.compile("\\b" + logger + "\\s*\\.\\s*(" + LOGGER_METHODS + ")\\s*\\(")
                .matcher(source.code);
        while (call.find()) {
          int end = source.closingParenthesis(call.end());
          String level = level(call.group(1), source.code.substring(call.end(), end));
          addSite(new CallSite(source, call.end(), end, level, List.of()), wrappers);
        }
      }
      for (String consumer : source.declaredNames(LOG_CONSUMER_DECLARATION)) {
        Matcher call =
            Pattern.compile("\\b" + consumer + "\\s*\\.\\s*accept\\s*\\(").matcher(source.code);
        while (call.find()) {
          List<String> texts = source.literals(call.end(), source.closingParenthesis(call.end()));
          calls.add(new Call(source.type, "INFO", texts, true));
        }
      }
    }
    for (int depth = 0; depth < MAX_WRAPPERS; depth++) {
      List<Wrapper> outerWrappers = new ArrayList<>();
      wrappers.forEach(wrapper -> addCallsOf(wrapper, outerWrappers));
      wrappers = outerWrappers;
    }
    for (Wrapper wrapper : wrappers) {
      calls.add(new Call(wrapper.type, wrapper.level, wrapper.texts, false));
    }
    return calls;
  }

  private static String level(String method, String arguments) {
    if (!method.equals("log")) {
      return method.toUpperCase(Locale.ROOT);
    }
    Matcher level = LEVEL_CONSTANT.matcher(arguments);
    return level.find() ? level.group(1) : "?";
  }

  /**
   * Records a site as a wrapper if it passes on a {@code String} parameter of its method, otherwise
   * as a log call.
   */
  private void addSite(CallSite site, List<Wrapper> wrappers) {
    Matcher method = METHOD_DECLARATION.matcher(site.source.code).region(0, site.start);
    String name = "";
    String parameters = "";
    while (method.find()) {
      name = method.group(1);
      parameters = method.group(2);
    }
    Matcher parameter = STRING_PARAMETER.matcher(parameters);
    String arguments = site.source.code.substring(site.start, site.end);
    boolean addsOnlyComponent =
        COMPONENT_PREFIX.matcher(String.join("", site.ownTexts())).matches();
    while (addsOnlyComponent && parameter.find()) {
      if (Pattern.compile("\\b" + parameter.group(1) + "\\b").matcher(arguments).find()) {
        wrappers.add(new Wrapper(site.source.type, name, site.level, site.allTexts()));
        return;
      }
    }
    calls.add(new Call(site.source.type, site.level, site.allTexts(), false));
  }

  /** Adds the calls of a wrapper; a wrapper that is called nowhere is recorded as a log call. */
  private void addCallsOf(Wrapper wrapper, List<Wrapper> outerWrappers) {
    int callCount = 0;
    for (Source source : sources) {
      String receiver = "(?<![\\w.])(?:this\\.)?";
      if (!source.type.equals(wrapper.type)) {
        Set<String> names =
            source.declaredNames(Pattern.compile("\\b" + wrapper.type + " (\\w+)\\b"));
        if (names.isEmpty()) {
          continue;
        }
        receiver = "\\b(?:" + String.join("|", names) + ")\\s*\\.\\s*";
      }
      Matcher call = Pattern.compile(receiver + wrapper.method + "\\s*\\(").matcher(source.code);
      while (call.find()) {
        int end = source.closingParenthesis(call.end());
        if (!source.isDeclaration(call.start(), end)) {
          addSite(
              new CallSite(source, call.end(), end, wrapper.level, wrapper.texts), outerWrappers);
          callCount++;
        }
      }
    }
    if (callCount == 0) {
      calls.add(new Call(wrapper.type, wrapper.level, wrapper.texts, false));
    }
  }

  /** The text of a file, and a copy with comments and the contents of literals blanked out. */
  private static final class Source {
    private static final Pattern COMMENT_OR_LITERAL =
        Pattern.compile(
            "(?s)//[^\\n]*|/\\*.*?\\*/|\"\"\".*?\"\"\""
                + "|\"(?:\\\\.|[^\"\\\\])*\"|'(?:\\\\.|[^'\\\\])+'");

    private final String type;
    private final String text;
    private final String code;

    Source(String type, String text) {
      this.type = type;
      this.text = text;
      StringBuilder blanked = new StringBuilder(text);
      Matcher matcher = COMMENT_OR_LITERAL.matcher(text);
      while (matcher.find()) {
        boolean literal = !matcher.group().startsWith("/");
        int delimiterLength = literal ? 1 : 0;
        for (int offset = matcher.start() + delimiterLength;
            offset < matcher.end() - delimiterLength;
            offset++) {
          blanked.setCharAt(offset, ' ');
        }
      }
      code = blanked.toString();
    }

    Set<String> declaredNames(Pattern declaration) {
      Set<String> names = new LinkedHashSet<>();
      Matcher matcher = declaration.matcher(code);
      while (matcher.find()) {
        names.add(matcher.group(1));
      }
      return names;
    }

    /** Returns the offset of the parenthesis that closes the one opened just before a position. */
    int closingParenthesis(int position) {
      int depth = 1;
      int offset = position;
      while (depth > 0) {
        char next = code.charAt(offset++);
        depth += next == '(' ? 1 : next == ')' ? -1 : 0;
      }
      return offset - 1;
    }

    /**
     * Returns whether a name with its parentheses is a method declaration: a type precedes it, and
     * a body follows.
     */
    boolean isDeclaration(int start, int end) {
      return code.substring(0, start).matches("(?s).*\\b(?!return|else)\\w+\\s+")
          && code.substring(end + 1).matches("(?s)\\s*(?:throws [\\w., ]+)?[{;].*")
          && !code.substring(end + 1).stripLeading().startsWith(";");
    }

    List<String> literals(int start, int end) {
      List<String> literals = new ArrayList<>();
      Matcher literal = Pattern.compile("\"[^\"]*\"|'[^']*'").matcher(code).region(start, end);
      while (literal.find()) {
        String content = text.substring(literal.start() + 1, literal.end() - 1).translateEscapes();
        if (!content.isEmpty()) {
          literals.add(content);
        }
      }
      return literals;
    }
  }
}
