package org.quincecross.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;

class OperatorSettingsTest {
  private static OperatorSettings read(String json) throws MalformedMessageException {
    return OperatorSettings.read(
        Json.parse(json.getBytes(StandardCharsets.UTF_8)), OperatorSettings.DEFAULTS);
  }

  @Property(tries = 100, seed = "14")
  void writtenSettingsReadTheSame(
      @ForAll boolean renting,
      @ForAll boolean returning,
      @ForAll @IntRange(max = 86_400) int idle,
      @ForAll @IntRange(max = 1000) int spare)
      throws MalformedMessageException {
    OperatorSettings settings = new OperatorSettings(renting, returning, idle, spare, 0, List.of());
    assertEquals(
        settings,
        OperatorSettings.read(Json.parse(Json.write(settings.write())), OperatorSettings.DEFAULTS));
  }

  @Example
  void omittedSettingsKeepDefaults() throws MalformedMessageException {
    assertEquals(new OperatorSettings(true, true, 60, 2, 0, List.of()), read("{\"idle_s\":60}"));
  }

  @Example
  void refusesInvalidSettings() {
    for (String bad :
        new String[] {
          "[]",
          "{\"idle_s\":-1}",
          "{\"idle_s\":1e9}",
          "{\"spare_tasks\":1.5}",
          "{\"renting\":1}",
          "{\"rentin\":true}"
        }) {
      assertThrows(MalformedMessageException.class, () -> read(bad), bad);
    }
  }
}
