package org.quincecross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.quincecross.model.Endpoint;

/**
 * Controllers of different builds compare the marks of their settings: the same settings have the
 * same marks in every build.
 */
class SettingsMarksTest {
  private static Map<String, String> marks(ClusterSpec spec) {
    List<Endpoint> nodes =
        List.of(
            new Endpoint("10.0.0.1", 80),
            new Endpoint("10.0.0.2", 80),
            new Endpoint("10.0.0.3", 80));
    return new TreeMap<>(
        spec.settings(0, nodes, nodes, nodes.get(1), nodes.get(2)).announcedLimits().checksums());
  }

  @Test
  void marksEqualThoseOfEarlierBuilds() {
    assertEquals(
        "{objectives=d4cbb29, state limits=3906042b, teams=3fe1ebfb, workers=554ac61c, zones=e3617560}",
        marks(ClusterSpec.small()).toString());
    assertEquals(
        "{objectives=c804b83c, state limits=cfa5a42e, teams=acd72f45, workers=c95c1590, zones=914a00a7}",
        marks(ClusterSpec.mixed(690)).toString());
    assertEquals(
        "{objectives=e077ab5c, state limits=901f1174, teams=1f706750, workers=fc45cd3b, zones=e99121a7}",
        marks(ClusterSpec.fleet(1000)).toString());
    assertEquals(
        "{objectives=acb1ac44, state limits=2306796a, teams=59650e8d, workers=4ea6237d, zones=e99121a7}",
        marks(ClusterSpec.tryOut(30, true)).toString());
  }
}
