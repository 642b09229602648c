package org.quincecross.model;

/** How the tasks of a job are scheduled together. */
public enum JobKind {
  /** A job array: independent tasks that each run to completion. */
  ARRAY,
  /** A gang: all tasks run at the same time or none does. */
  GANG,
  /** A service: replicas that run until the job is cancelled. */
  SERVICE
}
