package org.quincecross.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.regex.Pattern;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;

/**
 * A valid tree of quotas. Each team of the platform is in it exactly once; a team that operators
 * did not configure is a child of the root, as it would be without a tree. The platform's
 * guarantees and limits always apply: a team's node has the lower of both limits, and at most the
 * platform's guarantee.
 */
public final class QuotaTree {
  public static final int MAX_NODES = 10_000;

  /**
   * Maximum nesting depth of organisations; a team and its workloads may follow below the
   * innermost.
   */
  public static final int MAX_NESTED_ORGANISATIONS = 8;

  private static final int MAX_NAME_LENGTH = 100;
  private static final double MAX_AMOUNT = 1e9;
  private static final double EPSILON = 1e-6;

  /** A node; its index is its position in {@link #nodes()}, and larger than its parent's. */
  public static final class Node {
    private final int index;
    private final NodePath path;
    private final NodeSpec spec;
    private final Resources guarantee;
    private final Resources limit;
    private final Node parent;
    private final List<Node> children = new ArrayList<>();
    private final Pattern pattern;

    private Node(
        int index,
        NodePath path,
        NodeSpec spec,
        Resources guarantee,
        Resources limit,
        Node parent) {
      this.index = index;
      this.path = path;
      this.spec = spec;
      this.guarantee = guarantee;
      this.limit = limit;
      this.parent = parent;
      this.pattern = spec.pattern() == null ? null : glob(spec.pattern());
    }

    private static Pattern glob(String text) {
      return Pattern.compile(Pattern.quote(text).replace("*", "\\E.*\\Q"));
    }

    public int index() {
      return index;
    }

    public NodePath path() {
      return path;
    }

    public NodeSpec spec() {
      return spec;
    }

    /** The effective guarantee, within what the platform grants and the parent has. */
    public Resources guarantee() {
      return guarantee;
    }

    public Resources limit() {
      return limit;
    }

    /** Returns the parent, or null for the root. */
    public Node parent() {
      return parent;
    }

    public List<Node> children() {
      return children;
    }
  }

  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Node> teams = new HashMap<>();
  private final List<String> scaled = new ArrayList<>();

  private QuotaTree() {}

  /** Returns the tree used without configuration: the platform's teams below the root. */
  public static QuotaTree flat(Collection<Team> teams) {
    try {
      return build(List.of(), teams);
    } catch (InvalidQuotaTreeException e) {
      throw new IllegalStateException(e); // an empty configuration is always valid
    }
  }

  /**
   * Builds the tree that operators configured, for the teams that the platform names now.
   *
   * @throws InvalidQuotaTreeException if it is invalid for every platform file: a bad name or
   *     amount, duplicates, too deep, too many nodes, or children that are guaranteed more than
   *     their parent
   */
  public static QuotaTree build(List<NodeSpec> top, Collection<Team> platform)
      throws InvalidQuotaTreeException {
    Map<String, Team> teamsByName = new LinkedHashMap<>();
    platform.forEach(team -> teamsByName.put(team.name(), team));
    List<NodeSpec> all = new ArrayList<>(top);
    Set<String> configured = new HashSet<>();
    checkBelow(NodePath.ROOT, null, top, 0, teamsByName, configured, new int[1]);
    for (Team team : platform) {
      if (!configured.contains(team.name())) {
        all.add(
            new NodeSpec(
                team.name(),
                NodeSpec.Kind.TEAM,
                null,
                team.guarantee(),
                team.limit(),
                1,
                1,
                NodeSpec.UNLIMITED,
                List.of()));
      }
    }
    QuotaTree tree = new QuotaTree();
    NodeSpec root =
        new NodeSpec(
            "",
            NodeSpec.Kind.ORGANISATION,
            null,
            NodeSpec.UNLIMITED,
            NodeSpec.UNLIMITED,
            1,
            1,
            NodeSpec.UNLIMITED,
            all);
    tree.build(NodePath.ROOT, root, null, teamsByName);
    return tree;
  }

  // ---- validation ----

  private static void checkBelow(
      NodePath path,
      NodeSpec parent,
      List<NodeSpec> children,
      int nested,
      Map<String, Team> platform,
      Set<String> teams,
      int[] count)
      throws InvalidQuotaTreeException {
    Set<String> names = new HashSet<>();
    Resources sum = Resources.NONE;
    for (NodeSpec child : children) {
      NodePath at = path.child(child.name() == null ? "?" : child.name());
      if (++count[0] > MAX_NODES) {
        throw new InvalidQuotaTreeException(at, "the tree has more than " + MAX_NODES + " nodes");
      }
      checkName(at, child);
      if (!names.add(child.name())) {
        throw new InvalidQuotaTreeException(at, "stands there twice");
      }
      checkAmounts(at, child);
      checkKind(at, parent, child, nested, platform, teams);
      sum = sum.plus(child.guarantee());
      checkBelow(
          at,
          child,
          child.children(),
          child.kind() == NodeSpec.Kind.ORGANISATION ? nested + 1 : nested,
          platform,
          teams,
          count);
    }
    if (parent != null && !sum.fitsIn(parent.guarantee())) {
      throw new InvalidQuotaTreeException(
          path,
          "its children are guaranteed "
              + format(sum)
              + " together, it has "
              + format(parent.guarantee()));
    }
  }

  private static void checkName(NodePath at, NodeSpec node) throws InvalidQuotaTreeException {
    if (node.name() == null
        || node.name().isEmpty()
        || node.name().length() > MAX_NAME_LENGTH
        || node.name().contains("/")) {
      throw new InvalidQuotaTreeException(
          at, "a name has 1 to " + MAX_NAME_LENGTH + " characters and no slash");
    }
  }

  private static void checkAmounts(NodePath at, NodeSpec node) throws InvalidQuotaTreeException {
    checkAmount(at, "guarantee", node.guarantee(), false);
    checkAmount(at, "limit", node.limit(), true);
    checkAmount(at, "borrow", node.borrow(), true);
    if (!(node.weight() >= 0 && node.weight() <= MAX_AMOUNT)) {
      throw new InvalidQuotaTreeException(at, "weight is not an amount from 0 to 1e9");
    }
    if (!(node.lend() >= 0 && node.lend() <= 1)) {
      throw new InvalidQuotaTreeException(at, "lend is not a part from 0 to 1");
    }
    if (!node.guarantee().fitsIn(node.limit())) {
      throw new InvalidQuotaTreeException(
          at,
          "guarantee "
              + format(node.guarantee())
              + " is more than its limit "
              + format(node.limit()));
    }
  }

  private static void checkAmount(
      NodePath at, String what, Resources amount, boolean mayBeUnlimited)
      throws InvalidQuotaTreeException {
    for (double value : new double[] {amount.cpus(), amount.gpus(), amount.memoryGb()}) {
      boolean unlimited = mayBeUnlimited && value == Double.POSITIVE_INFINITY;
      if (!unlimited && !(value >= 0 && value <= MAX_AMOUNT)) {
        throw new InvalidQuotaTreeException(at, what + " is not an amount from 0 to 1e9");
      }
    }
  }

  private static void checkKind(
      NodePath at,
      NodeSpec parent,
      NodeSpec child,
      int nested,
      Map<String, Team> platform,
      Set<String> teams)
      throws InvalidQuotaTreeException {
    NodeSpec.Kind above = parent == null ? NodeSpec.Kind.ORGANISATION : parent.kind();
    switch (child.kind()) {
      case ORGANISATION -> {
        if (above != NodeSpec.Kind.ORGANISATION) {
          throw new InvalidQuotaTreeException(
              at, "an organisation stands below an organisation or the root");
        }
        if (nested >= MAX_NESTED_ORGANISATIONS) {
          throw new InvalidQuotaTreeException(
              at, "more than " + MAX_NESTED_ORGANISATIONS + " organisations within one another");
        }
      }
      case TEAM -> {
        if (above != NodeSpec.Kind.ORGANISATION) {
          throw new InvalidQuotaTreeException(
              at, "a team stands below an organisation or the root");
        }
        if (!platform.containsKey(child.name())) {
          throw new InvalidQuotaTreeException(at, "the platform has no team of that name");
        }
        if (!teams.add(child.name())) {
          throw new InvalidQuotaTreeException(at, "the team stands in the tree twice");
        }
      }
      case WORKLOAD -> {
        if (above != NodeSpec.Kind.TEAM) {
          throw new InvalidQuotaTreeException(at, "a workload stands below a team");
        }
        if (child.pattern() == null || child.pattern().isEmpty() || !child.children().isEmpty()) {
          throw new InvalidQuotaTreeException(at, "a workload has a pattern, and nothing below it");
        }
      }
      default -> throw new IllegalStateException(child.kind().toString());
    }
  }

  /** Formats an amount, without resources that are zero. */
  public static String format(Resources amount) {
    List<String> parts = new ArrayList<>();
    build(parts, amount.cpus(), " CPUs");
    build(parts, amount.gpus(), " GPUs");
    build(parts, amount.memoryGb(), " GB");
    return parts.isEmpty() ? "nothing" : String.join(", ", parts);
  }

  private static void build(List<String> parts, double value, String unit) {
    if (value == Double.POSITIVE_INFINITY) {
      parts.add("any" + unit);
    } else if (value > EPSILON) {
      parts.add(
          (value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value))
              + unit);
    }
  }

  // ---- effective values ----

  /**
   * Adds a node with its descendants. If the platform's file has shrunk a team since the tree was
   * written, the guarantees below that team are scaled down, each resource separately. This is
   * shown and logged, but is never an error.
   */
  private void build(NodePath path, NodeSpec spec, Node parent, Map<String, Team> platform) {
    Resources guarantee = spec.guarantee();
    Resources limit = spec.limit();
    if (spec.kind() == NodeSpec.Kind.TEAM) {
      Team team = platform.get(spec.name());
      guarantee = guarantee.min(team.guarantee());
      limit = limit.min(team.limit());
    } else if (spec.kind() == NodeSpec.Kind.WORKLOAD) {
      guarantee = scale(guarantee, parent).min(limit);
    }
    if (!spec.guarantee().fitsIn(guarantee)) {
      scaled.add(
          path
              + ": guaranteed "
              + format(guarantee)
              + " of the "
              + format(spec.guarantee())
              + " that the tree says");
    }
    Node node = new Node(nodes.size(), path, spec, guarantee, limit, parent);
    nodes.add(node);
    if (spec.kind() == NodeSpec.Kind.TEAM) {
      teams.put(spec.name(), node);
    }
    if (parent != null) {
      parent.children.add(node);
    }
    spec.children().forEach(child -> build(path.child(child.name()), child, node, platform));
  }

  private static Resources scale(Resources guarantee, Node team) {
    return new Resources(
        scale(guarantee, team, Resources::cpus),
        scale(guarantee, team, Resources::gpus),
        scale(guarantee, team, Resources::memoryGb));
  }

  private static double scale(
      Resources guarantee, Node team, ToDoubleFunction<Resources> resource) {
    double written = resource.applyAsDouble(team.spec.guarantee());
    double has = resource.applyAsDouble(team.guarantee);
    return written <= has
        ? resource.applyAsDouble(guarantee)
        : resource.applyAsDouble(guarantee) * has / written;
  }

  /** Returns all nodes, each after its parent; the root is the first. */
  public List<Node> nodes() {
    return nodes;
  }

  public Node root() {
    return nodes.get(0);
  }

  /**
   * Returns a line for each node whose effective guarantee is below the configured one, because the
   * platform grants less.
   */
  public List<String> scaled() {
    return scaled;
  }

  /**
   * Returns the node whose quota a job uses: the first workload of its team whose pattern matches,
   * else the team; null if there is no such team.
   */
  public Node build(String team, String jobClass) {
    Node node = teams.get(team);
    if (node == null) {
      return null;
    }
    for (Node workload : node.children) {
      if (workload.pattern.matcher(jobClass).matches()) {
        return workload;
      }
    }
    return node;
  }
}
