package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.math3.exception.MathIllegalStateException;
import org.apache.commons.math3.optim.MaxIter;
import org.apache.commons.math3.optim.PointValuePair;
import org.apache.commons.math3.optim.linear.LinearConstraint;
import org.apache.commons.math3.optim.linear.LinearConstraintSet;
import org.apache.commons.math3.optim.linear.LinearObjectiveFunction;
import org.apache.commons.math3.optim.linear.NonNegativeConstraint;
import org.apache.commons.math3.optim.linear.Relationship;
import org.apache.commons.math3.optim.linear.SimplexSolver;
import org.apache.commons.math3.optim.nonlinear.scalar.GoalType;
import org.quincecross.model.Resources;

/**
 * An upper bound for any scheduler: the largest share of jobs in time that all classes could reach
 * at once. It is a relaxation over time slices, so no scheduler does better, and possibly none
 * reaches it: work is a fluid, known in advance, that flows into any machine without image fetches,
 * and a half-finished job counts half.
 */
final class UpperBound {
  private static final int RESOURCES = 3;
  private static final int MAX_ITERATIONS = 200_000;

  /** Jobs of a class that arrive in the same slice are grouped into this many size classes. */
  private static final int SIZE_CLASSES = 3;

  /** A job with a deadline and its work, in resources times seconds. */
  record WorkDemand(String jobClass, double from, double until, Resources work) {}

  /** Similar jobs, each counted with the size of the smallest and the deadline of the latest. */
  private static final class Cohort {
    private final String jobClass;
    private final int first;
    private int last;
    private int jobs;
    private Resources smallestWork;

    Cohort(String jobClass, int first) {
      this.jobClass = jobClass;
      this.first = first;
    }
  }

  private final double sliceS;
  private final List<Resources> capacity;
  private final List<Cohort> cohorts = new ArrayList<>();
  private final Map<String, Integer> jobsByClass = new TreeMap<>();

  /**
   * @param sliceS the length of a slice, in seconds
   * @param capacity what the machines have free beside services, in each slice
   */
  UpperBound(double sliceS, List<Resources> capacity, Collection<WorkDemand> demands) {
    this.sliceS = sliceS;
    this.capacity = capacity;
    Map<String, List<WorkDemand>> alike = new LinkedHashMap<>();
    for (WorkDemand each : demands) {
      if (slice(each.until())
          < capacity.size()
              - 1) { // the other jobs could still finish in time after the end of the day
        alike
            .computeIfAbsent(each.jobClass() + " " + slice(each.from()), key -> new ArrayList<>())
            .add(each);
        jobsByClass.merge(each.jobClass(), 1, Integer::sum);
      }
    }
    alike.values().forEach(this::addCohorts);
  }

  private int slice(double seconds) {
    return (int) Math.floor(seconds / sliceS);
  }

  private void addCohorts(List<WorkDemand> similar) {
    similar.sort((one, other) -> Double.compare(one.work().cpus(), other.work().cpus()));
    int each = (similar.size() + SIZE_CLASSES - 1) / SIZE_CLASSES;
    for (int i = 0; i < similar.size(); i++) {
      WorkDemand wanted = similar.get(i);
      if (i % each == 0) {
        Cohort next = new Cohort(wanted.jobClass(), slice(wanted.from()));
        next.smallestWork = wanted.work();
        cohorts.add(next);
      }
      Cohort cohort = cohorts.get(cohorts.size() - 1);
      cohort.jobs++;
      cohort.smallestWork = cohort.smallestWork.min(wanted.work());
      cohort.last = Math.max(cohort.last, slice(wanted.until()));
    }
  }

  /** The number of jobs of each class that are included. */
  Map<String, Integer> jobsByClass() {
    return jobsByClass;
  }

  /** The smallest share of any class, from 0 to 1, at its maximum; NaN if it was not found. */
  double leastShare() {
    if (cohorts.isEmpty()) {
      return 1;
    }
    // Unknowns: for each cohort the number of its jobs done in each slice, and the share.
    int unknowns = 1;
    int[] at = new int[cohorts.size()];
    for (int i = 0; i < at.length; i++) {
      at[i] = unknowns;
      unknowns += cohorts.get(i).last - cohorts.get(i).first + 1;
    }
    List<LinearConstraint> constraints = new ArrayList<>();
    Map<String, double[]> classes = new TreeMap<>();
    double[][] slices = new double[capacity.size() * RESOURCES][];
    for (int i = 0; i < at.length; i++) {
      Cohort cohort = cohorts.get(i);
      double[] all = new double[unknowns];
      double[] ofClass =
          classes.computeIfAbsent(
              cohort.jobClass, name -> new double[at[at.length - 1] + lengthOf(at.length - 1)]);
      for (int s = cohort.first; s <= cohort.last; s++) {
        int x = at[i] + s - cohort.first;
        all[x] = 1;
        ofClass[x] = 1;
        double[] takes = {
          cohort.smallestWork.cpus(), cohort.smallestWork.gpus(), cohort.smallestWork.memoryGb()
        };
        for (int r = 0; r < RESOURCES; r++) {
          if (takes[r] > 0) {
            double[] row =
                slices[s * RESOURCES + r] == null
                    ? new double[unknowns]
                    : slices[s * RESOURCES + r];
            row[x] = takes[r];
            slices[s * RESOURCES + r] = row;
          }
        }
      }
      constraints.add(new LinearConstraint(all, Relationship.LEQ, cohort.jobs));
    }
    for (int s = 0; s < capacity.size(); s++) {
      Resources has = capacity.get(s).max(Resources.NONE);
      double[] amounts = {has.cpus(), has.gpus(), has.memoryGb()};
      for (int r = 0; r < RESOURCES; r++) {
        if (slices[s * RESOURCES + r] != null) {
          constraints.add(
              new LinearConstraint(
                  slices[s * RESOURCES + r], Relationship.LEQ, amounts[r] * sliceS));
        }
      }
    }
    classes.forEach(
        (name, row) -> {
          row[0] = -jobsByClass.get(name);
          constraints.add(new LinearConstraint(row, Relationship.GEQ, 0));
        });
    double[] share = new double[unknowns];
    share[0] = 1;
    constraints.add(new LinearConstraint(share, Relationship.LEQ, 1));
    try {
      PointValuePair best =
          new SimplexSolver()
              .optimize(
                  new MaxIter(MAX_ITERATIONS),
                  new LinearObjectiveFunction(share, 0),
                  new LinearConstraintSet(constraints),
                  GoalType.MAXIMIZE,
                  new NonNegativeConstraint(true));
      return best.getValue();
    } catch (MathIllegalStateException e) {
      return Double.NaN;
    }
  }

  private int lengthOf(int cohort) {
    return cohorts.get(cohort).last - cohorts.get(cohort).first + 1;
  }
}
