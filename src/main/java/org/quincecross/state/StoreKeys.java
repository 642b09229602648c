package org.quincecross.state;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Incarnation;
import org.quincecross.model.JobId;
import org.quincecross.model.ShardId;
import org.quincecross.replicated.RecordId;

/** Where the records lie in the state service. */
public final class StoreKeys {
  /** Everything lies under this, so that one watch sees every change. */
  public static final String ROOT = "q/";

  public static final String LEADER = ROOT + "leader";

  /** The level in force. */
  public static final String LEVEL = ROOT + "level";

  /**
   * Who leads, from level 2 on. At {@link #LEADER} something is left then that builds without
   * levels take for a leader.
   */
  public static final String LEADS = ROOT + "leads";

  public static final String OPERATOR_SETTINGS = ROOT + "settings";
  static final String MEMBERS = ROOT + "member/";
  static final String JOBS = ROOT + "job/";
  static final String BUNDLES = ROOT + "bundle/";

  /** Parts of what jobs wait on. */
  static final String AFTER = ROOT + "after/";

  static final String DONE = ROOT + "done/";
  static final String PAGES = ROOT + "page/";
  static final String BLOCKS = ROOT + "block/";
  static final String ALLOCATIONS = ROOT + "alloc/";
  static final String CHANGED_ALLOCATIONS = ROOT + "change/";
  static final String TYPES = ROOT + "type/";
  static final String AGREED = ROOT + "agreed/";

  /**
   * Written with every change that keeps tasks back; all that the leader writes is guarded by it.
   */
  public static final String AGREED_FENCE = AGREED + "fence";

  /** No record has a name that begins so. */
  static final String AGREED_PAGE = "~";

  private StoreKeys() {}

  public static String member(ControllerId member) {
    return MEMBERS + safe(member.text());
  }

  public static String job(JobId job) {
    return JOBS + job.text();
  }

  /** A record of several accepted jobs; no two have the same name. */
  public static String bundle(ControllerId member, Incarnation life, long number) {
    return BUNDLES + safe(member.text()) + "-" + life + "-" + number;
  }

  /** The record of which tasks of a job are done, for the tasks of one chunk. */
  public static String done(JobId job, int chunk) {
    return DONE + job.text() + "/" + chunk;
  }

  /** A record of which tasks of several jobs are done. */
  public static String page(int page) {
    return PAGES + page;
  }

  public static String block(ShardId block) {
    return BLOCKS + block.text();
  }

  public static String allocation(ShardId block) {
    return ALLOCATIONS + block.text();
  }

  /** The record of how a block's tasks differ from those of {@link #allocation}. */
  public static String changedAllocation(ShardId block) {
    return CHANGED_ALLOCATIONS + block.text();
  }

  public static String type(String name) {
    return TYPES + safe(name);
  }

  /** A record that all controllers follow. */
  public static String agreed(RecordId record) {
    return AGREED + record.kind() + "/" + record.id();
  }

  /** A page of the trail of a kind of such records. */
  public static String agreedPage(String kind, int page) {
    return AGREED + kind + "/" + AGREED_PAGE + page;
  }

  private static String safe(String name) {
    return URLEncoder.encode(name, StandardCharsets.UTF_8);
  }
}
