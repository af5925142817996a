package org.amberpath;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaMethodCall;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that modules depend only on modules below them, and that pure code does no I/O and reads
 * no clock.
 */
class ArchitectureTest {
  private static final String ROOT = "org.amberpath.";
  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.amberpath");

  /** All packages of pure code; the pure package of a new subsystem has to be added. */
  private static final List<String> PURE =
      List.of(
          ROOT + "routing",
          ROOT + "registry",
          ROOT + "membership",
          ROOT + "leadership",
          ROOT + "planning",
          ROOT + "recovery");

  private static final String[] TOOLS = {ROOT + "cli..", ROOT + "lab.."};
  private static final String GATEWAY = ROOT + "gateway..";

  private static final DescribedPredicate<JavaClass> PURE_CLASS =
      describe("in a pure package", one -> PURE.contains(one.getPackageName()));

  private static final DescribedPredicate<JavaClass> OUTSIDE =
      describe(
          "does I/O, threads or sockets",
          one -> {
            String in = one.getPackageName();
            String name = one.getName();
            return in.startsWith("io.")
                || in.startsWith("java.net")
                || in.startsWith("java.nio")
                || in.startsWith("java.util.concurrent")
                || in.startsWith("java.util.logging")
                || in.startsWith("sun.")
                || in.startsWith("com.")
                || (in.startsWith("org.") && !in.startsWith(ROOT))
                || name.equals("java.lang.Thread")
                || (in.equals("java.io")
                    && !name.equals("java.io.Serializable")
                    && !name.startsWith("java.io.Print"))
                || name.equals("java.util.Random")
                || name.equals("java.time.Instant")
                || name.equals("java.time.Clock");
          });

  private static final DescribedPredicate<JavaMethodCall> CLOCK =
      describe(
          "reads a clock or the environment",
          call ->
              call.getTargetOwner().getName().equals("java.lang.System")
                  && Set.of("nanoTime", "currentTimeMillis", "getenv", "getProperty")
                      .contains(call.getName()));

  @Test
  void everyPurePackageExists() {
    for (String pure : PURE) {
      assertTrue(ALL.stream().anyMatch(one -> one.getPackageName().equals(pure)), pure);
    }
  }

  @Test
  void pureCodeDoesNoInputOrOutput() {
    noClasses().that(PURE_CLASS).should().dependOnClassesThat(OUTSIDE).check(ALL);
  }

  @Test
  void pureCodeReadsNoClockOrEnvironment() {
    noClasses().that(PURE_CLASS).should().callMethodWhere(CLOCK).check(ALL);
  }

  @Test
  void pureCodeDependsOnNoRuntimePackage() {
    noClasses()
        .that(PURE_CLASS)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("..runtime..", GATEWAY)
        .check(ALL);
  }

  @Test
  void routingDependsOnNoOtherModule() {
    noClasses()
        .that()
        .resideInAPackage(ROOT + "routing..")
        .should()
        .dependOnClassesThat(
            describe(
                "in another module",
                one ->
                    one.getPackageName().startsWith(ROOT)
                        && !one.getPackageName().startsWith(ROOT + "routing")))
        .check(ALL);
  }

  @Test
  void gatewayPackagesHaveNoCycleAndDependOnNothingOfTheLifecycle() {
    slices().matching(ROOT + "gateway.(*)..").should().beFreeOfCycles().check(ALL);
    noClasses()
        .that()
        .resideInAPackage(ROOT + "gateway.*..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage(ROOT + "gateway")
        .check(ALL);
  }

  @ParameterizedTest
  @CsvSource({
    "gateway, registry membership leadership planning recovery cli lab",
    "membership, registry leadership planning cli lab",
    "registry, leadership planning cli lab",
    "leadership, planning cli lab",
  })
  void moduleDependsOnNoneAboveIt(String module, String above) {
    String[] packages =
        Stream.of(above.split(" ", -1)).map(one -> ROOT + one + "..").toArray(String[]::new);
    noClasses()
        .that()
        .resideInAPackage(ROOT + module + "..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(packages)
        .check(ALL);
  }

  @Test
  void onlyTheCommandLineDependsOnTheLab() {
    noClasses()
        .that()
        .resideOutsideOfPackages(TOOLS)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(TOOLS)
        .check(ALL);
  }
}
