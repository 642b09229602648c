package org.quincecross.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import org.quincecross.model.Job;
import org.quincecross.model.JobId;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineId;
import org.quincecross.model.MonotonicTime;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.TimeSpan;

class ShardSchedulerTest {
  private static final Resources MACHINE = new Resources(8, 0, 32);
  private static final MonotonicTime NOW = new MonotonicTime(0);

  private static Job job(
      int number, JobKind kind, Priority priority, int tasks, double cpus, double memory) {
    return Job.builder(new JobId("job-" + number))
        .jobClass("c")
        .team("t")
        .kind(kind)
        .priority(priority)
        .taskCount(tasks)
        .taskResources(new Resources(cpus, 0, memory))
        .allowsSpot(true)
        .image("img")
        .imageGb(1)
        .estimate(TimeSpan.ofSeconds(10))
        .build();
  }

  private static QueueEntry entry(int number, double cpus, double memory) {
    Job job = job(number, JobKind.ARRAY, Priority.NORMAL, 1, cpus, memory);
    return new QueueEntry(job, List.of(job.id().task(0)), new Revision(number));
  }

  private static ShardScheduler shardOf(int machines) {
    ShardScheduler scheduler = new ShardScheduler();
    for (int i = 0; i < machines; i++) {
      scheduler.addMachine(new MachineId("m" + i), MACHINE, image -> false);
      scheduler.update(new MachineId("m" + i), Resources.NONE, Resources.NONE, true);
    }
    return scheduler;
  }

  @Example
  void startIncrementsCountersOfPassedTasks() {
    ShardScheduler scheduler = shardOf(1);
    scheduler.update(new MachineId("m0"), new Resources(6, 0, 0), Resources.NONE, true);
    QueueEntry wide = entry(1, 8, 1);
    QueueEntry alsoWide = entry(2, 4, 1);
    QueueEntry narrow = entry(3, 2, 1);
    List.of(wide, alsoWide, narrow).forEach(scheduler::enqueue);
    assertEquals(
        List.of(narrow),
        scheduler.schedule(NOW).stream().map(ShardScheduler.Start::entry).toList());
    assertEquals(1, wide.counter());
    assertEquals(1, alsoWide.counter());
  }

  @Example
  void nothingPassesHeadWithHigherCounter() {
    ShardScheduler scheduler = shardOf(1);
    scheduler.update(new MachineId("m0"), new Resources(6, 0, 0), Resources.NONE, true);
    QueueEntry wide = entry(1, 8, 1);
    scheduler.enqueue(wide);
    scheduler.enqueue(entry(2, 2, 1));
    scheduler.schedule(NOW);
    assertEquals(1, wide.counter());
    scheduler.update(new MachineId("m0"), new Resources(6, 0, 0), Resources.NONE, true);
    scheduler.enqueue(entry(3, 2, 1));
    assertTrue(scheduler.schedule(NOW).isEmpty(), "the counter of a new entry is below the head's");
  }

  @Example
  void startsTheBetterBalancedTaskFirst() {
    ShardScheduler scheduler = shardOf(1);
    scheduler.update(new MachineId("m0"), new Resources(4, 0, 0), Resources.NONE, true);
    QueueEntry head = entry(1, 8, 1);
    QueueEntry lopsided = entry(2, 3, 1);
    QueueEntry balanced = entry(3, 3, 28);
    List.of(head, lopsided, balanced).forEach(scheduler::enqueue);
    assertEquals(balanced, scheduler.schedule(NOW).get(0).entry());
  }

  @Example
  void freeMachinePullsFromLongestQueue() {
    ShardScheduler scheduler = shardOf(2);
    scheduler.update(new MachineId("m1"), MACHINE, Resources.NONE, false);
    for (int i = 0; i < 6; i++) {
      scheduler.enqueue(entry(i, 8, 1));
    }
    scheduler.update(new MachineId("m0"), MACHINE, Resources.NONE, true);
    scheduler.update(new MachineId("m1"), Resources.NONE, Resources.NONE, true);
    List<ShardScheduler.Start> starts = scheduler.schedule(NOW);
    assertEquals(List.of(new MachineId("m1")), starts.get(0).machines());
  }

  @Example
  void gangStartsAsAWholeOrNotAtAll() {
    ShardScheduler scheduler = shardOf(3);
    Job job = job(1, JobKind.GANG, Priority.NORMAL, 3, 6, 1);
    QueueEntry gang =
        new QueueEntry(
            job, IntStream.range(0, 3).mapToObj(job.id()::task).toList(), new Revision(1));
    scheduler.enqueue(gang);
    scheduler.update(new MachineId("m2"), new Resources(4, 0, 0), Resources.NONE, true);
    assertTrue(scheduler.schedule(NOW).isEmpty());
    scheduler.update(new MachineId("m2"), Resources.NONE, Resources.NONE, true);
    List<ShardScheduler.Start> starts = scheduler.schedule(NOW);
    assertEquals(3, starts.get(0).machines().size());
  }

  @Example
  void smallTasksDoNotStarveAGang() {
    ShardScheduler scheduler = shardOf(1);
    scheduler.update(new MachineId("m0"), new Resources(4, 0, 0), Resources.NONE, true);
    Job job = job(1, JobKind.GANG, Priority.NORMAL, 1, 8, 1);
    scheduler.enqueue(new QueueEntry(job, List.of(job.id().task(0)), new Revision(1)));
    scheduler.enqueue(entry(2, 2, 1));
    assertTrue(
        scheduler.schedule(NOW).isEmpty(), "the machine that the gang waits for is kept free");
  }

  @Example
  void smallWorkLeavesRoomForLargeWork() {
    ShardScheduler scheduler = shardOf(2);
    scheduler.setHeadroom(
        List.of(new Headroom(Headroom.Purpose.LARGE_WORK, new Resources(7, 0, 1), 1)));
    for (int i = 0; i < 8; i++) {
      scheduler.enqueue(entry(i, 2, 1));
    }
    Map<MachineId, Integer> count = new HashMap<>();
    scheduler.schedule(NOW).forEach(start -> count.merge(start.machines().get(0), 1, Integer::sum));
    assertEquals(1, count.size(), "one of the two machines stays whole");
  }

  /**
   * Urgent work that an image pull would make late waits for capacity next to its image and starts
   * there once there is some, even if other work waits on that machine and another machine is idle.
   */
  @Example
  void urgentWorkPreemptsNextToItsImage() {
    ShardScheduler scheduler = new ShardScheduler();
    MachineId idle = new MachineId("m0");
    MachineId withImage = new MachineId("m1");
    scheduler.addMachine(idle, MACHINE, image -> false);
    scheduler.addMachine(withImage, MACHINE, image -> true);
    Resources two = new Resources(2, 0, 1);
    scheduler.update(idle, Resources.NONE, Resources.NONE, true);
    scheduler.update(withImage, MACHINE, two, true);
    Job job = job(1, JobKind.SERVICE, Priority.PRODUCTION, 1, 2, 1);
    QueueEntry urgent = new QueueEntry(job, List.of(job.id().task(0)), new Revision(1));
    urgent.avoidImagePull();
    scheduler.enqueue(urgent);
    assertTrue(scheduler.schedule(NOW).isEmpty(), "room can be made at once next to the image");
    Job other = job(2, JobKind.ARRAY, Priority.NORMAL, 1, 2, 1);
    Preemption.Running victim =
        new Preemption.Running(
            other.id().task(0), withImage, Priority.NORMAL, false, two, false, NOW);
    assertEquals(
        List.of(victim),
        new Preemption(scheduler, List.of(victim), Map.of()).victimsFor(urgent, false));
    assertEquals(
        List.of(),
        new Preemption(scheduler, List.of(), Map.of(withImage, two)).victimsFor(urgent, false),
        "capacity is already being freed");
    scheduler.update(withImage, MACHINE.minus(two), Resources.NONE, true);
    List<ShardScheduler.Start> starts = scheduler.schedule(NOW);
    assertEquals(List.of(withImage), starts.get(0).machines());
  }

  /**
   * Whole machines for a gang are freed together or not at all, and best-effort tasks are preempted
   * first.
   */
  @Example
  void capacityForGangIsFreedOnAllMachinesOrNone() {
    ShardScheduler scheduler = shardOf(3);
    List<Preemption.Running> running = new ArrayList<>();
    List<MachineId> machines = scheduler.machines().stream().map(MachineQueue::machine).toList();
    for (int i = 0; i < 3; i++) {
      scheduler.update(machines.get(i), MACHINE, Resources.NONE, true);
      for (int half = 0; half < 2; half++) {
        Job job =
            job(
                100 + 2 * i + half,
                JobKind.ARRAY,
                i < 2 ? Priority.LOW : Priority.NORMAL,
                1,
                4,
                16);
        running.add(
            new Preemption.Running(
                job.id().task(0),
                machines.get(i),
                job.priority(),
                half == 1,
                job.taskResources(),
                true,
                NOW));
      }
    }
    Job wide = job(1, JobKind.GANG, Priority.NORMAL, 2, 8, 32);
    QueueEntry gang =
        new QueueEntry(wide, List.of(wide.id().task(0), wide.id().task(1)), new Revision(1));
    scheduler.enqueue(gang);
    assertEquals(
        new HashSet<>(running.subList(0, 4)),
        new HashSet<>(new Preemption(scheduler, running, Map.of()).victimsFor(gang, false)));
    Job wider = job(2, JobKind.GANG, Priority.NORMAL, 3, 8, 32);
    QueueEntry tooWide =
        new QueueEntry(
            wider,
            List.of(wider.id().task(0), wider.id().task(1), wider.id().task(2)),
            new Revision(2));
    scheduler.enqueue(tooWide);
    Preemption preemption = new Preemption(scheduler, running, Map.of());
    assertEquals(
        List.of(), preemption.victimsFor(tooWide, false), "work of its own priority stays");
    assertEquals(
        4,
        preemption.victimsFor(gang, false).size(),
        "tasks spared for one entry can be preempted for another");
    Job small = job(3, JobKind.ARRAY, Priority.NORMAL, 1, 4, 16);
    QueueEntry one = new QueueEntry(small, List.of(small.id().task(0)), new Revision(3));
    assertTrue(
        new Preemption(scheduler, running, Map.of()).victimsFor(one, true).get(0).bestEffort());
    assertEquals(
        List.of(),
        new Preemption(scheduler, running.subList(4, 6), Map.of()).victimsFor(one, true));
  }

  /** A random operation on a shard. */
  private record Step(int kind, int number, double cpus, double memory) {}

  @Provide
  Arbitrary<Step> steps() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 3),
            Arbitraries.integers().between(0, 5),
            Arbitraries.integers().between(1, 8).map(n -> (double) n),
            Arbitraries.integers().between(1, 32).map(n -> (double) n))
        .as(Step::new);
  }

  @Property(tries = 300, seed = "10")
  void neverOverfillsMachinesAndLosesNoWork(
      @ForAll @Size(max = 60) List<@net.jqwik.api.From("steps") Step> steps) {
    ShardScheduler scheduler = shardOf(4);
    Map<MachineId, Resources> used = new HashMap<>();
    List<QueueEntry> waiting = new ArrayList<>();
    List<ShardScheduler.Start> running = new ArrayList<>();
    int number = 0;
    for (Step step : steps) {
      switch (step.kind()) {
        case 0, 1 -> {
          QueueEntry entry = entry(++number, step.cpus(), step.memory());
          assertTrue(scheduler.enqueue(entry));
          waiting.add(entry);
        }
        case 2 -> {
          if (!running.isEmpty()) {
            ShardScheduler.Start over = running.remove(step.number() % running.size());
            used.merge(
                over.machines().get(0),
                over.entry().job().taskResources().times(-1),
                Resources::plus);
          }
        }
        default -> {
          for (int i = 0; i < 4; i++) {
            MachineId machine = new MachineId("m" + i);
            scheduler.update(
                machine,
                used.getOrDefault(machine, Resources.NONE),
                Resources.NONE,
                i != step.number());
          }
          for (ShardScheduler.Start start : scheduler.schedule(NOW)) {
            assertTrue(waiting.remove(start.entry()), "started once");
            MachineId machine = start.machines().get(0);
            assertFalse(
                machine.equals(new MachineId("m" + step.number())),
                "nothing starts on a closed machine");
            used.merge(machine, start.entry().job().taskResources(), Resources::plus);
            assertTrue(used.get(machine).fitsIn(MACHINE));
            running.add(start);
          }
        }
      }
      assertEquals(waiting.size(), scheduler.waiting().size());
    }
  }
}
