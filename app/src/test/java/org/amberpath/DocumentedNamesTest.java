package org.amberpath;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that types, members and files that the documentation names exist. */
class DocumentedNamesTest {
  private static final Path ROOT = Path.of("..");

  /** Types of libraries that the documentation names. */
  private static final Set<String> LIBRARY_TYPES = Set.of("NetSocket", "Optional");

  /** This page lists former names, so the files that it names need not exist. */
  private static final Path RENAMED_PAGE = ROOT.resolve("docs").resolve("renamed.md");

  private static final Pattern CODE_SPAN = Pattern.compile("`([^`\\n]+)`");

  /** A type, optionally followed by a member or nested type. */
  private static final Pattern TYPE_OR_MEMBER =
      Pattern.compile("([A-Z][A-Za-z0-9]*[a-z][A-Za-z0-9]*)(?:\\.(\\w+))?(?:\\(.*\\))?");

  private static final Pattern TYPE_DECLARATION =
      Pattern.compile("\\b(?:class|interface|enum|record|@interface) ([A-Z]\\w*)");
  private static final Pattern LINK = Pattern.compile("\\]\\((?!https?:)([^)#]+)(?:#[^)]*)?\\)");

  /**
   * Returns the source text of each type by simple name; texts of types with the same name are
   * concatenated.
   */
  private static Map<String, String> sourcesByType() throws IOException {
    Map<String, String> sources = new HashMap<>();
    for (Path file : sourceFiles(".java")) {
      String text = Files.readString(file);
      Matcher declaration = TYPE_DECLARATION.matcher(text);
      while (declaration.find()) {
        sources.merge(declaration.group(1), text, String::concat);
      }
    }
    return sources;
  }

  private static List<Path> sourceFiles(String suffix) throws IOException {
    List<Path> found = new ArrayList<>();
    try (Stream<Path> modules = Files.list(ROOT)) {
      for (Path module : modules.filter(path -> Files.exists(path.resolve("pom.xml"))).toList()) {
        try (Stream<Path> files = Files.walk(module.resolve("src"))) {
          found.addAll(
              files.filter(file -> file.toString().endsWith(suffix)).collect(Collectors.toList()));
        }
      }
    }
    return found;
  }

  @ParameterizedTest
  @ValueSource(strings = {"docs/architecture.md", "docs/gateway.md", "CONTRIBUTING.md"})
  void typesAndMembersThatThePageNamesExist(String page) throws IOException {
    Map<String, String> sources = sourcesByType();
    List<String> unknown = new ArrayList<>();
    int nameCount = 0;

    Matcher codeSpan = CODE_SPAN.matcher(Files.readString(ROOT.resolve(page)));
    while (codeSpan.find()) {
      Matcher name = TYPE_OR_MEMBER.matcher(codeSpan.group(1));
      if (name.matches() && !LIBRARY_TYPES.contains(name.group(1))) {
        nameCount++;
        String source = sources.get(name.group(1));
        boolean known =
            source != null
                && (name.group(2) == null
                    || Pattern.compile("\\b" + name.group(2) + "\\b").matcher(source).find());
        if (!known) {
          unknown.add(codeSpan.group(1));
        }
      }
    }

    assertEquals(List.of(), unknown, page);
    assertTrue(nameCount > 0, page);
  }

  @Test
  void linksBetweenPagesLeadToFiles() throws IOException {
    List<String> broken = new ArrayList<>();
    List<Path> pages = new ArrayList<>(List.of(ROOT.resolve("README.md")));
    try (Stream<Path> docs = Files.walk(ROOT.resolve("docs"))) {
      docs.filter(file -> file.toString().endsWith(".md")).forEach(pages::add);
    }

    for (Path page : pages) {
      Matcher link = LINK.matcher(Files.readString(page));
      while (link.find()) {
        if (!Files.exists(page.resolveSibling(link.group(1)))) {
          broken.add(page + " -> " + link.group(1));
        }
      }
    }

    assertEquals(List.of(), broken);
  }

  @Test
  void pagesNamedInPlainTextExist() throws IOException {
    Pattern pagePath = Pattern.compile("\\bdocs/[a-z0-9/-]+\\.md\\b");
    List<String> missing = new ArrayList<>();
    List<Path> texts = new ArrayList<>(sourceFiles(".java"));
    texts.add(ROOT.resolve("README.md"));
    texts.add(ROOT.resolve("CONTRIBUTING.md"));
    try (Stream<Path> docs = Files.walk(ROOT.resolve("docs"))) {
      docs.filter(file -> file.toString().endsWith(".md")).forEach(texts::add);
    }
    texts.remove(RENAMED_PAGE);

    for (Path text : texts) {
      Matcher page = pagePath.matcher(Files.readString(text));
      while (page.find()) {
        if (!Files.exists(ROOT.resolve(page.group()))) {
          missing.add(text + " names " + page.group());
        }
      }
    }

    assertEquals(List.of(), missing);
  }
}
