package org.quincecross.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.quincecross.model.Resources;
import org.quincecross.protocol.Json;
import org.quincecross.protocol.JsonFields;
import org.quincecross.protocol.MalformedMessageException;
import org.quincecross.quota.NodePath;
import org.quincecross.quota.NodeSpec;

/**
 * The stored and the API form of a quota tree: a list of nodes, each named by its path and listed
 * after its parent. A list of paths cannot be cyclic, needs no nested JSON, and gives every error a
 * path to name.
 *
 * <p>Defaults: no guarantee, no limit, unlimited borrowing, weight 1 and lending 1. Whether the
 * tree is consistent is checked by {@link org.quincecross.quota.QuotaTree}.
 */
public final class QuotaRecord {
  private static final Map<String, NodeSpec.Kind> KINDS =
      Map.of(
          "organisation",
          NodeSpec.Kind.ORGANISATION,
          "team",
          NodeSpec.Kind.TEAM,
          "workload",
          NodeSpec.Kind.WORKLOAD);
  private static final Set<String> NAMES =
      Set.of("path", "kind", "pattern", "guarantee", "limit", "weight", "lend", "borrow");
  private static final Map<String, ToDoubleFunction<Resources>> RESOURCES = new LinkedHashMap<>();

  static {
    RESOURCES.put("cpus", Resources::cpus);
    RESOURCES.put("gpus", Resources::gpus);
    RESOURCES.put("memory_gb", Resources::memoryGb);
  }

  private QuotaRecord() {}

  /** Writes a quota tree, given its root nodes. */
  public static Map<String, Object> write(List<NodeSpec> top) {
    List<Object> nodes = new ArrayList<>();
    write(NodePath.ROOT, top, nodes);
    return Json.object("nodes", nodes);
  }

  private static void write(NodePath above, List<NodeSpec> specs, List<Object> nodes) {
    for (NodeSpec spec : specs) {
      NodePath path = above.child(spec.name());
      Map<String, Object> out = Json.object("path", path.text(), "kind", kindName(spec.kind()));
      if (spec.pattern() != null) {
        out.put("pattern", spec.pattern());
      }
      put(out, "guarantee", spec.guarantee(), 0);
      put(out, "limit", spec.limit(), Double.POSITIVE_INFINITY);
      put(out, "borrow", spec.borrow(), Double.POSITIVE_INFINITY);
      put(out, "weight", spec.weight());
      put(out, "lend", spec.lend());
      nodes.add(out);
      write(path, spec.children(), nodes);
    }
  }

  private static String kindName(NodeSpec.Kind kind) {
    return KINDS.entrySet().stream()
        .filter(entry -> entry.getValue() == kind)
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseThrow();
  }

  private static void put(Map<String, Object> out, String name, double value) {
    if (value != 1) {
      out.put(name, value);
    }
  }

  private static void put(Map<String, Object> out, String name, Resources amount, double leftOut) {
    Map<String, Object> some = new LinkedHashMap<>();
    RESOURCES.forEach(
        (resource, of) -> {
          if (of.applyAsDouble(amount) != leftOut) {
            some.put(resource, of.applyAsDouble(amount));
          }
        });
    if (!some.isEmpty()) {
      out.put(name, some);
    }
  }

  /**
   * Reads the root nodes, each with its children.
   *
   * @throws MalformedMessageException with one line that names the node and the error
   */
  public static List<NodeSpec> read(Object value) throws MalformedMessageException {
    List<NodeSpec> top = new ArrayList<>();
    Map<String, NodeSpec> known = new LinkedHashMap<>();
    for (JsonFields in : JsonFields.of(value, "a tree of quotas").objects("nodes")) {
      String path = in.string("path");
      NodeSpec spec;
      try {
        spec = readNode(path, in);
      } catch (MalformedMessageException e) {
        throw new MalformedMessageException(path + ": " + e.getMessage());
      }
      int slash = path.lastIndexOf('/');
      NodeSpec parent = slash < 0 ? null : known.get(path.substring(0, slash));
      if (slash >= 0 && parent == null) {
        throw new MalformedMessageException(path + ": the node above it does not stand before it");
      }
      if (known.put(path, spec) != null) {
        throw new MalformedMessageException(path + ": stands there twice");
      }
      (parent == null ? top : parent.children()).add(spec);
    }
    return top;
  }

  private static NodeSpec readNode(String path, JsonFields in) throws MalformedMessageException {
    for (String name : in.fieldNames()) {
      if (!NAMES.contains(name)) {
        throw new MalformedMessageException("unknown field " + name);
      }
    }
    return new NodeSpec(
        path.substring(path.lastIndexOf('/') + 1),
        in.enumValue("kind", KINDS),
        in.stringOr("pattern", null),
        resources(in, "guarantee", 0),
        resources(in, "limit", Double.POSITIVE_INFINITY),
        in.has("weight") ? in.nonNegativeNumber("weight") : 1,
        in.has("lend") ? in.nonNegativeNumber("lend") : 1,
        resources(in, "borrow", Double.POSITIVE_INFINITY),
        new ArrayList<>());
  }

  private static Resources resources(JsonFields in, String name, double leftOut)
      throws MalformedMessageException {
    if (!in.has(name)) {
      return new Resources(leftOut, leftOut, leftOut);
    }
    JsonFields amount = in.fields(name);
    for (String resource : amount.fieldNames()) {
      if (!RESOURCES.containsKey(resource)) {
        throw new MalformedMessageException("unknown field " + resource + " of " + name);
      }
    }
    return new Resources(
        amount(amount, "cpus", leftOut),
        amount(amount, "gpus", leftOut),
        amount(amount, "memory_gb", leftOut));
  }

  private static double amount(JsonFields in, String name, double leftOut)
      throws MalformedMessageException {
    return in.has(name) ? in.nonNegativeNumber(name) : leftOut;
  }
}
