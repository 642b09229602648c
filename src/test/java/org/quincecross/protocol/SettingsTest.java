package org.quincecross.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Endpoint;
import org.quincecross.model.TimeSpan;

class SettingsTest {
  private static final Settings.StoreLimits PRESENT = new Settings.StoreLimits(100, 10, 4096, 8);

  private static Settings with(double lease, double cancel) throws MalformedMessageException {
    return SettingsReader.read(SettingsWriter.write(settings(lease, cancel)));
  }

  private static Settings settings(double lease, double cancel) {
    Endpoint somewhere = new Endpoint("10.0.0.1", 80);
    return new Settings(
        new ControllerId("n0"),
        "a",
        somewhere,
        somewhere,
        List.of(),
        somewhere,
        somewhere,
        List.of("a"),
        Map.of(),
        List.of(),
        new Settings.AgentTimeouts(
            TimeSpan.ofSeconds(1),
            TimeSpan.ofSeconds(lease),
            TimeSpan.ofSeconds(30),
            TimeSpan.ofSeconds(5),
            TimeSpan.ofSeconds(cancel)),
        PRESENT,
        new Settings.CloudLimits(4, TimeSpan.ofSeconds(2)),
        TimeSpan.ofSeconds(1),
        new Settings.ProcessLimits(1, 200, 1000));
  }

  /**
   * With such leases users could not be told of a cancellation in time: the program refuses to
   * start and names the field.
   */
  @Test
  void refusesLeasesTooLongForCancellations() throws MalformedMessageException {
    assertEquals(TimeSpan.ofSeconds(60), with(60, 36).agentTimeouts().lease());
    String why = assertThrows(MalformedMessageException.class, () -> with(80, 36)).getMessage();
    assertEquals(
        "field lease_s is too long for what cancel_s says: tasks that nobody reaches go on for a lease",
        why);
  }

  /**
   * From its start on, a controller uses the smaller of the current and the announced limits;
   * limits that are not announced stay.
   */
  @Property(tries = 100, seed = "4")
  void smallerLimitsApply(
      @ForAll @IntRange(min = 1, max = 200) int perS,
      @ForAll @IntRange(min = 1, max = 64) int quarterKb,
      @ForAll @IntRange(min = 1, max = 40) int changes)
      throws MalformedMessageException {
    Settings.StoreLimits next =
        new Settings.StoreLimits(perS, perS / 2.0, quarterKb * 256, changes);
    byte[] file = SettingsWriter.write(settings(60, 36), next);
    assertEquals(
        new Settings.StoreLimits(
            Math.min(100, perS),
            Math.min(10, perS / 2.0),
            Math.min(4096, quarterKb * 256),
            Math.min(8, changes)),
        SettingsReader.read(file).storeLimits());
    assertEquals(
        PRESENT, SettingsReader.read(SettingsWriter.write(settings(60, 36))).storeLimits());
    String some =
        new String(file, StandardCharsets.UTF_8)
            .replaceFirst("(\"next\":\\{).*?(\"txn_ops\":[0-9]+\\})", "$1$2");
    assertEquals(
        new Settings.StoreLimits(100, 10, 4096, Math.min(8, changes)),
        SettingsReader.read(some.getBytes(StandardCharsets.UTF_8)).storeLimits());
  }
}
