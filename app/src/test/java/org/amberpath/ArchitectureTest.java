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
  private static final JavaClasses PRODUCTION_CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.amberpath");

  /** All packages of pure code; the pure package of a new subsystem has to be added. */
  private static final List<String> PURE_PACKAGES =
      List.of(
          ROOT + "routing",
          ROOT + "registry",
          ROOT + "membership",
          ROOT + "leadership",
          ROOT + "planning",
          ROOT + "recovery");

  private static final String[] TOOL_PACKAGES = {ROOT + "cli..", ROOT + "lab.."};
  private static final String GATEWAY_PACKAGES = ROOT + "gateway..";

  private static final DescribedPredicate<JavaClass> PURE_CLASS =
      describe(
          "in a pure package", javaClass -> PURE_PACKAGES.contains(javaClass.getPackageName()));

  private static final DescribedPredicate<JavaClass> IO_OR_CONCURRENCY_CLASS =
      describe(
          "does I/O, threads or sockets",
          javaClass -> {
            String packageName = javaClass.getPackageName();
            String name = javaClass.getName();
            return packageName.startsWith("io.")
                || packageName.startsWith("java.net")
                || packageName.startsWith("java.nio")
                || packageName.startsWith("java.util.concurrent")
                || packageName.startsWith("java.util.logging")
                || packageName.startsWith("sun.")
                || packageName.startsWith("com.")
                || (packageName.startsWith("org.") && !packageName.startsWith(ROOT))
                || name.equals("java.lang.Thread")
                || (packageName.equals("java.io")
                    && !name.equals("java.io.Serializable")
                    && !name.startsWith("java.io.Print"))
                || name.equals("java.util.Random")
                || name.equals("java.time.Instant")
                || name.equals("java.time.Clock");
          });

  private static final DescribedPredicate<JavaMethodCall> CLOCK_OR_ENVIRONMENT_CALL =
      describe(
          "reads a clock or the environment",
          call ->
              call.getTargetOwner().getName().equals("java.lang.System")
                  && Set.of("nanoTime", "currentTimeMillis", "getenv", "getProperty")
                      .contains(call.getName()));

  @Test
  void everyPurePackageExists() {
    for (String packageName : PURE_PACKAGES) {
      assertTrue(
          PRODUCTION_CLASSES.stream()
              .anyMatch(javaClass -> javaClass.getPackageName().equals(packageName)),
          packageName);
    }
  }

  @Test
  void pureCodeDoesNoInputOrOutput() {
    noClasses()
        .that(PURE_CLASS)
        .should()
        .dependOnClassesThat(IO_OR_CONCURRENCY_CLASS)
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void pureCodeReadsNoClockOrEnvironment() {
    noClasses()
        .that(PURE_CLASS)
        .should()
        .callMethodWhere(CLOCK_OR_ENVIRONMENT_CALL)
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void pureCodeDependsOnNoRuntimePackage() {
    noClasses()
        .that(PURE_CLASS)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("..runtime..", GATEWAY_PACKAGES)
        .check(PRODUCTION_CLASSES);
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
                javaClass ->
                    javaClass.getPackageName().startsWith(ROOT)
                        && !javaClass.getPackageName().startsWith(ROOT + "routing")))
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void gatewaySubpackagesHaveNoCyclesAndDoNotDependOnTheirParent() {
    slices().matching(ROOT + "gateway.(*)..").should().beFreeOfCycles().check(PRODUCTION_CLASSES);
    noClasses()
        .that()
        .resideInAPackage(ROOT + "gateway.*..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage(ROOT + "gateway")
        .check(PRODUCTION_CLASSES);
  }

  @ParameterizedTest
  @CsvSource({
    "gateway, registry membership leadership planning recovery cli lab",
    "membership, registry leadership planning cli lab",
    "registry, leadership planning cli lab",
    "leadership, planning cli lab",
  })
  void moduleDependsOnNoHigherModule(String module, String higherModules) {
    String[] packages =
        Stream.of(higherModules.split(" ", -1))
            .map(higherModule -> ROOT + higherModule + "..")
            .toArray(String[]::new);
    noClasses()
        .that()
        .resideInAPackage(ROOT + module + "..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(packages)
        .check(PRODUCTION_CLASSES);
  }

  @Test
  void onlyToolPackagesDependOnToolPackages() {
    noClasses()
        .that()
        .resideOutsideOfPackages(TOOL_PACKAGES)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(TOOL_PACKAGES)
        .check(PRODUCTION_CLASSES);
  }
}
