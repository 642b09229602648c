package org.quincecross.state;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.JobId;
import org.quincecross.model.ShardId;
import org.quincecross.replicated.RecordId;

/** The keys of all records in the key-value store. */
public final class StoreKeys {
  /** The common prefix, so that a single watch sees every change. */
  public static final String ROOT = "q/";

  public static final String LEADER = ROOT + "leader";

  /** The feature level in force. */
  public static final String LEVEL = ROOT + "level";

  /**
   * The leader, from feature level 2 on. {@link #LEADER} then keeps a value that builds without
   * levels take for a leader.
   */
  public static final String MOVED_LEADER = ROOT + "leads";

  public static final String OPERATOR_SETTINGS = ROOT + "settings";
  static final String MEMBERS = ROOT + "member/";
  static final String JOBS = ROOT + "job/";
  static final String BUNDLES = ROOT + "bundle/";

  /** Parts of dependency lists. */
  static final String DEPENDENCY_PARTS = ROOT + "after/";

  static final String COMPLETED_CHUNKS = ROOT + "done/";
  static final String COMPLETED_PAGES = ROOT + "page/";
  static final String SHARDS = ROOT + "block/";
  static final String ALLOCATIONS = ROOT + "alloc/";
  static final String ALLOCATION_DELTAS = ROOT + "change/";
  static final String MACHINE_TYPES = ROOT + "type/";
  static final String REPLICATED = ROOT + "agreed/";

  /**
   * Written with every change that blocks tasks; everything the leader writes has its version as a
   * precondition.
   */
  public static final String REPLICATED_FENCE = REPLICATED + "fence";

  /** No id of a record begins with this prefix. */
  static final String AUDIT_PAGE_PREFIX = "~";

  private StoreKeys() {}

  /** The record of a live controller. */
  public static String member(ControllerId member) {
    return MEMBERS + encoded(member.text());
  }

  /** The record of a job. */
  public static String job(JobId job) {
    return JOBS + job.text();
  }

  /** A record of several accepted jobs; no two have the same name. */
  public static String bundle(ControllerId member, Incarnation incarnation, long number) {
    return BUNDLES + encoded(member.text()) + "-" + incarnation + "-" + number;
  }

  /** The completed tasks of a job that belong to one chunk. */
  public static String completedChunk(JobId job, int chunk) {
    return COMPLETED_CHUNKS + job.text() + "/" + chunk;
  }

  /** A page with the completed tasks of several jobs. */
  public static String completedPage(int page) {
    return COMPLETED_PAGES + page;
  }

  /** The lease of a shard. */
  public static String shard(ShardId shard) {
    return SHARDS + shard.text();
  }

  /** The full record of a shard's allocation. */
  public static String allocation(ShardId shard) {
    return ALLOCATIONS + shard.text();
  }

  /** The difference between a shard's allocation and its last full record ({@link #allocation}). */
  public static String allocationDelta(ShardId shard) {
    return ALLOCATION_DELTAS + shard.text();
  }

  /** The record of a machine type. */
  public static String machineType(String name) {
    return MACHINE_TYPES + encoded(name);
  }

  /** A replicated record. */
  public static String replicatedRecord(RecordId record) {
    return REPLICATED + record.kind() + "/" + record.id();
  }

  /** A page of the audit trail of a kind of replicated records. */
  public static String auditPage(String kind, int page) {
    return REPLICATED + kind + "/" + AUDIT_PAGE_PREFIX + page;
  }

  private static String encoded(String name) {
    return URLEncoder.encode(name, StandardCharsets.UTF_8);
  }
}
