package org.quincecross.quota;

import org.quincecross.model.Resources;

/**
 * What the tasks below each node use, and how much more each node may take. A change costs the depth of the tree, whatever
 * its size.
 */
public final class QuotaBooks {
    private final QuotaTree tree;
    private final Resources[] used;
    /** Of each node: what its children keep, see {@link #keptBy}. */
    private final Resources[] kept;
    private long steps;

    public QuotaBooks(QuotaTree tree) {
        this.tree = tree;
        this.used = new Resources[tree.nodes().size()];
        this.kept = new Resources[tree.nodes().size()];
        for (QuotaTree.Node node : tree.nodes()) {
            used[node.index()] = Resources.NONE;
            kept[node.index()] = Resources.NONE;
        }
        // From the leaves up: what a node keeps is at least what those below it keep.
        for (int i = tree.nodes().size() - 1; i > 0; i--) {
            QuotaTree.Node node = tree.nodes().get(i);
            if (node.parent() != null) {
                int parent = node.parent().index();
                kept[parent] = kept[parent].plus(keptBy(node));
            }
        }
    }

    public QuotaTree tree() {
        return tree;
    }

    /** What the tasks of a node, and of those below it, take that are not proven gone. */
    public Resources used(QuotaTree.Node node) {
        return used[node.index()];
    }

    /** How many nodes have been gone through so far: the work that was done. */
    public long steps() {
        return steps;
    }

    /** Counts tasks of a node in, or, with negative amounts, out. */
    public void add(QuotaTree.Node node, Resources more) {
        Resources change = Resources.NONE;
        for (QuotaTree.Node each = node; each != null; each = each.parent()) {
            steps++;
            int index = each.index();
            Resources before = keptBy(each);
            kept[index] = kept[index].plus(change);
            used[index] = used[index].plus(more);
            change = keptBy(each).minus(before);
        }
    }

    /** What a node keeps of its parent's room for itself: the part of its guarantee that it never lends, as far as unused. */
    private Resources keptBy(QuotaTree.Node node) {
        if (node.parent() == null) {
            return Resources.NONE;
        }
        double part = 1 - node.spec().lend();
        Resources own = part == 0 ? Resources.NONE : node.guarantee().times(part).minus(used[node.index()]).most(Resources.NONE);
        return own.most(kept[node.index()]);
    }

    /**
     * How much more a node may take: at each level, its limit and what it may borrow, less what is used there and what
     * others there keep.
     */
    public Resources room(QuotaTree.Node node) {
        Resources room = NodeSpec.UNLIMITED;
        // What others keep that this node must leave them: beside it, and beside each node on the way up.
        Resources others = kept[node.index()];
        QuotaTree.Node below = null;
        for (QuotaTree.Node each = node; each != null; each = each.parent()) {
            steps++;
            int index = each.index();
            if (below != null) {
                others = others.plus(kept[index]).minus(keptBy(below));
            }
            Resources bound = each.limit().least(each.guarantee().plus(each.spec().borrow()));
            room = room.least(bound.minus(used[index]).minus(others).most(Resources.NONE));
            below = each;
        }
        return room;
    }
}
