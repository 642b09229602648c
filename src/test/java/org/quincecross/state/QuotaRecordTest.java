package org.quincecross.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.quincecross.model.Resources;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.quota.NodeSpec;
import org.quincecross.quota.NodeSpec.Kind;

class QuotaRecordTest {
  private static double amount(Random random, double leftOut) {
    return random.nextInt(3) == 0
        ? leftOut
        : random.nextInt(3) == 0 ? 0 : random.nextInt(100_000) / 8.0;
  }

  private static Resources resources(Random random, double leftOut) {
    return new Resources(amount(random, leftOut), amount(random, leftOut), amount(random, leftOut));
  }

  private static List<NodeSpec> randomNodes(Random random, int depth) {
    List<NodeSpec> specs = new ArrayList<>();
    for (int i = 0; i < random.nextInt(4); i++) {
      Kind kind = Kind.values()[random.nextInt(3)];
      specs.add(
          new NodeSpec(
              "n" + i + "\u00e9 \"",
              kind,
              kind == Kind.WORKLOAD ? "a*b" : null,
              resources(random, 0),
              resources(random, Double.POSITIVE_INFINITY),
              random.nextInt(3),
              random.nextInt(3) / 2.0,
              resources(random, Double.POSITIVE_INFINITY),
              depth > 9 ? new ArrayList<>() : randomNodes(random, depth + 1)));
    }
    return specs;
  }

  private static List<NodeSpec> read(byte[] json) throws MalformedMessageException {
    return QuotaRecord.read(Json.parse(json));
  }

  @Property(tries = 200, seed = "71")
  void writtenTreeReadsTheSame(@ForAll long seed) throws MalformedMessageException {
    List<NodeSpec> tree = randomNodes(new Random(seed), 0);
    assertEquals(tree, read(Json.write(QuotaRecord.write(tree))));
  }

  /**
   * However a record is damaged, it either reads as a tree or is a malformed message; no other
   * exception is thrown.
   */
  @Property(tries = 300, seed = "72")
  void damagedRecordIsTreeOrMalformedMessage(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] json = Json.write(QuotaRecord.write(randomNodes(random, 0)));
    for (int i = 0; i < 3; i++) {
      json[random.nextInt(json.length)] = (byte) " {}[],:0-9\"truenl/".charAt(random.nextInt(18));
    }
    try {
      read(json);
    } catch (MalformedMessageException e) {
      assertEquals(-1, e.getMessage().indexOf('\n'));
    }
  }

  private static void assertMalformed(String message, String nodes) {
    byte[] json = ("{\"nodes\":[" + nodes + "]}").getBytes(StandardCharsets.UTF_8);
    assertEquals(
        message, assertThrows(MalformedMessageException.class, () -> read(json)).getMessage());
  }

  @Example
  void errorsNameThePath() {
    String a = "{\"path\":\"a\",\"kind\":\"organisation\"}";
    assertMalformed(
        "b/c: the node above it does not stand before it",
        a + ",{\"path\":\"b/c\",\"kind\":\"team\"}");
    assertMalformed("a: stands there twice", a + "," + a);
    assertMalformed(
        "a/c: unknown field gurantee",
        a + ",{\"path\":\"a/c\",\"kind\":\"team\",\"gurantee\":{\"cpus\":1}}");
    assertMalformed(
        "a/c: unknown field cpu of limit",
        a + ",{\"path\":\"a/c\",\"kind\":\"team\",\"limit\":{\"cpu\":1}}");
    assertMalformed(
        "a/c: field weight of an item of nodes of a tree of quotas is not a number of 0 or more",
        a + ",{\"path\":\"a/c\",\"kind\":\"team\",\"weight\":-1}");
  }
}
