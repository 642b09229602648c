package org.quincecross;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Packages are arranged in layers, and each package imports only from its own or lower layers; the
 * decision packages have no I/O and no clock.
 */
class PackageLayeringTest {
  /** From top to bottom. Packages of one layer may import each other. */
  private static final List<List<String>> LAYERS =
      List.of(
          List.of("cli"),
          List.of("emulator"),
          List.of("api"),
          List.of("admin"),
          List.of("leader", "shard"),
          List.of("state", "peer"),
          List.of("net", "protocol", "scheduling"),
          List.of(
              "http",
              "progress",
              "quota",
              "overload",
              "accounting",
              "rollout",
              "legalhold",
              "failuredetection",
              "quarantine",
              "replicated",
              "modelserving",
              "reservation",
              "dependency"),
          List.of("model"));

  private static final List<String> PURE =
      List.of(
          "scheduling",
          "progress",
          "quota",
          "overload",
          "accounting",
          "rollout",
          "legalhold",
          "failuredetection",
          "quarantine",
          "replicated",
          "modelserving",
          "reservation",
          "dependency",
          "model");

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.quincecross");

  private static String[] packages(List<String> names) {
    return names.stream().map(name -> "org.quincecross." + name + "..").toArray(String[]::new);
  }

  @Test
  void packagesImportOnlyDownward() {
    List<String> above = new ArrayList<>(LAYERS.get(0));
    for (List<String> floor : LAYERS.subList(1, LAYERS.size())) {
      noClasses()
          .that()
          .resideInAnyPackage(packages(floor))
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(packages(above))
          .check(CLASSES);
      above.addAll(floor);
    }
  }

  @Test
  void everyPackageHasALayer() {
    List<String> all = LAYERS.stream().flatMap(List::stream).toList();
    classes().should().resideInAnyPackage(packages(all)).check(CLASSES);
  }

  @Test
  void decisionsHaveNoInputOutputAndNoClock() {
    noClasses()
        .that()
        .resideInAnyPackage(packages(PURE))
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.io..", "java.net..", "java.nio..", "java.time..", "org.slf4j..")
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAnyPackage(packages(PURE))
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(CLASSES);
  }
}
