package org.amberpath;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaMethodCall;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * What keeps the rooms of the house apart: arrows point one way, and what decides does no I/O and
 * reads no clock.
 */
class ArchitectureTest {
  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("amberpath");

  /** Every package that decides: a new subsystem's pure half is added here. */
  private static final String[] PURE = {
    "amberpath",
    "org.amberpath.registry",
    "org.amberpath.membership",
    "org.amberpath.leadership",
    "org.amberpath.planning",
    "org.amberpath.recovery"
  };

  private static final String[] TOOLS = {"org.amberpath.cli..", "org.amberpath.lab.."};
  private static final String[] SOCKETS = {
    "org.amberpath.gateway..",
    "org.amberpath.gateway.client..",
    "org.amberpath.gateway.cache..",
    "org.amberpath.gateway.discovery..",
    "org.amberpath.gateway.simulation..",
    "org.amberpath.gateway.settings.."
  };

  /** Main is the way in and decides nothing. */
  private static final DescribedPredicate<JavaClass> PURE_CLASS =
      describe(
          "in a pure package",
          one ->
              List.of(PURE).contains(one.getPackageName())
                  && !one.getName().equals("org.amberpath.cli.Main"));

  private static final DescribedPredicate<JavaClass> OUTSIDE =
      describe(
          "does I/O, threads or sockets",
          one -> {
            String in = one.getPackageName(), name = one.getName();
            return in.startsWith("io.")
                || in.startsWith("java.net")
                || in.startsWith("java.nio")
                || in.startsWith("java.util.concurrent")
                || in.startsWith("java.util.logging")
                || in.startsWith("sun.")
                || in.startsWith("com.")
                || in.startsWith("org.")
                || name.equals("java.lang.Thread")
                || in.equals("java.io")
                    && !name.equals("java.io.Serializable")
                    && !name.startsWith("java.io.Print")
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
  void whatDecidesDoesNoInputOrOutput() {
    noClasses().that(PURE_CLASS).should().dependOnClassesThat(OUTSIDE).check(ALL);
  }

  @Test
  void whatDecidesIsToldTheTime() {
    noClasses().that(PURE_CLASS).should().callMethodWhere(CLOCK).check(ALL);
  }

  @Test
  void whatDecidesKnowsNoLiveHalf() {
    noClasses()
        .that(PURE_CLASS)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "..live..",
            "org.amberpath.gateway..",
            "org.amberpath.gateway.client..",
            "org.amberpath.gateway.cache..",
            "org.amberpath.gateway.discovery..",
            "org.amberpath.gateway.simulation..",
            "org.amberpath.gateway.settings..")
        .check(ALL);
  }

  @Test
  void theCoreKnowsNothingElseOfTheHouse() {
    noClasses()
        .that(
            describe(
                "of the core",
                one ->
                    one.getPackageName().equals("amberpath")
                        && !one.getName().equals("org.amberpath.cli.Main")))
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("amberpath.*..")
        .check(ALL);
  }

  @Test
  void theGatewayKnowsNoSubsystemAboveIt() {
    noClasses()
        .that()
        .resideInAnyPackage(SOCKETS)
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "org.amberpath.registry..",
            "org.amberpath.membership..",
            "org.amberpath.leadership..",
            "org.amberpath.planning..",
            "org.amberpath.cli..",
            "org.amberpath.lab..")
        .check(ALL);
  }

  @Test
  void theFleetKnowsNeitherRegistryNorPlanner() {
    noClasses()
        .that()
        .resideInAnyPackage("org.amberpath.membership..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "org.amberpath.registry..",
            "org.amberpath.leadership..",
            "org.amberpath.planning..",
            "org.amberpath.cli..",
            "org.amberpath.lab..")
        .check(ALL);
  }

  @Test
  void theRegistryKnowsNoPlanner() {
    noClasses()
        .that()
        .resideInAnyPackage("org.amberpath.registry..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "org.amberpath.leadership..",
            "org.amberpath.planning..",
            "org.amberpath.cli..",
            "org.amberpath.lab..")
        .check(ALL);
  }

  @Test
  void theOwnerKnowsNoPlanner() {
    noClasses()
        .that()
        .resideInAnyPackage("org.amberpath.leadership..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "org.amberpath.planning..", "org.amberpath.cli..", "org.amberpath.lab..")
        .check(ALL);
  }

  @Test
  void nothingButTheCommandLineKnowsTheLaboratory() {
    noClasses()
        .that()
        .resideOutsideOfPackages(TOOLS)
        .and()
        .doNotHaveFullyQualifiedName("org.amberpath.cli.Main")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(TOOLS)
        .check(ALL);
  }
}
