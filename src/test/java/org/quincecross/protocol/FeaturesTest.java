package org.quincecross.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quincecross.overload.Shares;

class FeaturesTest {
  private static Features read(String json) throws MalformedMessageException {
    return Features.read(json.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void unnamedFeaturesAreDisabled() throws MalformedMessageException {
    assertEquals(Features.NONE, read("{}"));
    assertEquals(Shares.DEFAULTS, read("{\"overload\": {}}").overload());
    assertNull(read("{\"overload\": {}}").accountingInterval());
    assertEquals(0.2, read("{\"overload\": {\"floor\": 0.2}}").overload().floor());
    assertEquals(60, read("{\"served\": {\"log_every_s\": 60}}").accountingInterval().seconds());
  }

  /** Deployments take part in levels up to the one before replicated records. */
  @Test
  void deployedFeaturesSupportLevelTwo() throws MalformedMessageException, IOException {
    Features deployed = Features.read(Files.readAllBytes(Path.of("deploy/features.json")));
    assertEquals(2, deployed.build().maxLevel().number());
    assertNull(deployed.replicatedFeatures());
  }

  /** A controller announces the level of replicated records only if its features name them. */
  @Test
  void replicatedRecordsRequireTheirLevel() throws MalformedMessageException {
    assertEquals(2, read("{\"rollout\": {}}").build().maxLevel().number());
    assertNull(read("{\"rollout\": {}}").replicatedFeatures());
    assertEquals(
        3,
        read("{\"rollout\": {}, \"agreed\": {\"holds\": {\"review_days\": 3}}}")
            .build()
            .maxLevel()
            .number());
    assertEquals(
        Set.of("holds"),
        read("{\"rollout\": {}, \"agreed\": {\"holds\": {}}}").replicatedFeatures().keySet());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"agreed\": {}}",
        "{\"rollout\": {}, \"agreed\": {\"hold\": {}}}",
        "{\"rollout\": {\"most_level\": 3}}",
        "",
        "[]",
        "3",
        "{\"overlaod\": {}}",
        "{\"overload\": 1}",
        "{\"overload\": {\"flor\": 0.1}}",
        "{\"overload\": {\"floor\": -0.1}}",
        "{\"overload\": {\"floor\": 0.4, \"turns\": 0.2}}",
        "{\"overload\": {\"usable\": 0}}",
        "{\"overload\": {\"usable\": 2}}",
        "{\"overload\": {\"coming\": \"a\"}}",
        "{\"served\": {}}",
        "{\"served\": {\"log_every_s\": 0.5}}",
        "{\"served\": {\"log_every_s\": 1e6}}"
      })
  void refusesInvalidFeatures(String json) {
    assertThrows(MalformedMessageException.class, () -> read(json));
  }
}
