package org.quincecross.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quincecross.model.ControllerId;
import org.quincecross.model.Endpoint;
import org.quincecross.model.JobKind;
import org.quincecross.model.MachineType;
import org.quincecross.model.Priority;
import org.quincecross.model.Resources;
import org.quincecross.model.Team;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.Settings;

/**
 * A simulated deployment: the environment of the controllers, and what their settings say about it.
 *
 * @param nodeZones the zone of each controller
 * @param maxMachines the capacity of the cloud, in machines
 * @param restart the delay before a crashed controller is started again
 * @param unreliableMachines whether some rented machines are slow, faulty, late or never up
 */
record ClusterSpec(
    List<String> nodeZones,
    List<String> zones,
    List<MachineType> types,
    List<Pool> pools,
    int maxMachines,
    Map<String, Team> teams,
    Settings.AgentTimeouts workers,
    Settings.StoreLimits stateLimits,
    Settings.CloudLimits cloudLimits,
    Settings.ProcessLimits quota,
    List<Settings.Objective> objectives,
    TimeSpan restart,
    boolean unreliableMachines,
    List<JobClass> classes) {

  /**
   * A pool of machines of one type, zone and price kind: {@code initial} are up at the start, and
   * the cloud has {@code maxMachines}.
   */
  record Pool(String type, String zone, boolean spot, int initial, int maxMachines) {}

  /**
   * A class of jobs in the workload.
   *
   * @param initial the number of jobs submitted at the start
   * @param perMinute the number of jobs submitted per minute after that
   * @param meanTasks the mean of the distribution of tasks per job
   */
  record JobClass(
      String name,
      JobKind kind,
      Priority priority,
      int initial,
      double perMinute,
      int meanTasks,
      Resources taskResources,
      double runS,
      double imageGb,
      int images,
      boolean spread,
      boolean spot,
      double checkpointEveryS,
      double deadlineS) {}

  private static final double NO_LIMIT = Double.POSITIVE_INFINITY;

  int nodes() {
    return nodeZones.size();
  }

  static String nodeName(int node) {
    return "n" + node;
  }

  MachineType type(String name) {
    for (MachineType type : types) {
      if (type.name().equals(name)) {
        return type;
      }
    }
    throw new IllegalArgumentException(name);
  }

  private static Team team(String name, double guaranteedCpus, double limitCpus) {
    return new Team(
        name, new Resources(guaranteedCpus, 0, 1e9), new Resources(limitCpus, NO_LIMIT, 1e9));
  }

  private static Map<String, Team> teams(Team... teams) {
    Map<String, Team> named = new LinkedHashMap<>();
    for (Team team : teams) {
      named.put(team.name(), team);
    }
    return named;
  }

  private static Settings.AgentTimeouts workers(
      double report, double lease, double gangWait, double gangPeer, double cancel) {
    return new Settings.AgentTimeouts(
        TimeSpan.ofSeconds(report),
        TimeSpan.ofSeconds(lease),
        TimeSpan.ofSeconds(gangWait),
        TimeSpan.ofSeconds(gangPeer),
        TimeSpan.ofSeconds(cancel));
  }

  /** Three controllers, two zones, one small machine type: for simulated days with many faults. */
  static ClusterSpec small() {
    MachineType type =
        new MachineType(
            "m8",
            new Resources(8, 0, 32),
            50,
            1.25,
            1,
            0.4,
            TimeSpan.ofSeconds(5),
            List.of("a", "b"));
    List<Pool> pools = new ArrayList<>();
    for (String zone : type.zones()) {
      pools.add(new Pool("m8", zone, false, 4, 14));
      pools.add(new Pool("m8", zone, true, 0, 14));
    }
    return new ClusterSpec(
        List.of("a", "b", "a"),
        type.zones(),
        List.of(type),
        pools,
        14,
        teams(team("red", 16, 40), team("blue", 8, 24)),
        workers(0.8, 11, 35, 8, 36),
        new Settings.StoreLimits(200, 40, 4096, 8),
        new Settings.CloudLimits(4, TimeSpan.ofSeconds(2)),
        new Settings.ProcessLimits(0.5, 200, 1000),
        List.of(),
        TimeSpan.ofSeconds(4),
        true,
        List.of());
  }

  /**
   * A fleet of one machine type in three zones, running services, arrays and sweeps that keep most
   * of the capacity in use. Work and limits grow with the machines, except for the limits of the
   * state service.
   *
   * @param machines the capacity of the cloud; a quarter of the machines are up at the start
   */
  static ClusterSpec fleet(int machines) {
    MachineType type =
        new MachineType(
            "rack-16",
            new Resources(16, 0, 128),
            60,
            0.5,
            0.7,
            0.2,
            TimeSpan.ofSeconds(30),
            List.of("east", "north", "west"));
    List<Pool> pools = new ArrayList<>();
    for (String zone : type.zones()) {
      pools.add(new Pool("rack-16", zone, false, machines / 8, machines / 5));
      pools.add(new Pool("rack-16", zone, true, 0, machines / 6));
    }
    double scale = machines / 1000.0;
    double cpus = 16.0 * machines;
    List<JobClass> classes =
        List.of(
            new JobClass(
                "front",
                JobKind.SERVICE,
                Priority.PRODUCTION,
                (int) (200 * scale),
                24 * scale,
                4,
                new Resources(4, 0, 28),
                600,
                1.5,
                10,
                true,
                false,
                0,
                0),
            new JobClass(
                "rebuild",
                JobKind.ARRAY,
                Priority.NORMAL,
                (int) (40 * scale),
                36 * scale,
                50,
                new Resources(2, 0, 13),
                40,
                1.2,
                16,
                false,
                true,
                0,
                240),
            new JobClass(
                "sweep",
                JobKind.ARRAY,
                Priority.LOW,
                (int) (60 * scale),
                32 * scale,
                45,
                new Resources(2, 0, 9),
                50,
                2,
                16,
                false,
                true,
                15,
                0));
    return new ClusterSpec(
        type.zones(),
        type.zones(),
        List.of(type),
        pools,
        machines,
        teams(
            team("front", 0.25 * cpus, 0.6 * cpus),
            team("rebuild", 0.3 * cpus, cpus),
            team("sweep", 0.3 * cpus, cpus)),
        workers(5, 24, 35, 4, 54),
        new Settings.StoreLimits(250, 90, 8192, 24),
        new Settings.CloudLimits(5, TimeSpan.ofSeconds(8)),
        new Settings.ProcessLimits(0.25, 360, 3000),
        List.of(
            new Settings.Objective("wait", "front", TimeSpan.ofSeconds(5), 1, 0.85),
            new Settings.Objective("finished", "sweep", TimeSpan.ofSeconds(180), 1, 0.93)),
        TimeSpan.ofSeconds(8),
        false,
        classes);
  }

  /**
   * A fleet of three machine types in two zones, with gangs that take whole machines and few
   * changes per second.
   *
   * @param machines the capacity of the cloud; half of the machines are up at the start
   */
  static ClusterSpec mixed(int machines) {
    MachineType small =
        new MachineType(
            "box-8",
            new Resources(8, 0, 32),
            50,
            0.5,
            0.5,
            0.2,
            TimeSpan.ofSeconds(15),
            List.of("left", "right"));
    MachineType wide =
        new MachineType(
            "wide-64",
            new Resources(64, 0, 128),
            40,
            0.4,
            4,
            1.4,
            TimeSpan.ofSeconds(30),
            List.of("left"));
    MachineType cards =
        new MachineType(
            "card-96",
            new Resources(96, 8, 384),
            150,
            0.3,
            24,
            9,
            TimeSpan.ofSeconds(50),
            List.of("left", "right"));
    List<Pool> pools =
        List.of(
            new Pool("box-8", "left", false, machines * 21 / 100, machines / 4),
                new Pool("box-8", "left", true, 0, machines * 23 / 100),
            new Pool("box-8", "right", false, machines * 12 / 100, machines * 15 / 100),
                new Pool("box-8", "right", true, 0, machines / 8),
            new Pool("wide-64", "left", false, machines * 3 / 100, machines * 4 / 100),
                new Pool("wide-64", "left", true, 0, machines / 100),
            new Pool("card-96", "left", false, machines * 6 / 100, machines * 8 / 100),
                new Pool("card-96", "left", true, 0, machines * 3 / 100),
            new Pool("card-96", "right", false, machines * 4 / 100, machines * 5 / 100),
                new Pool("card-96", "right", true, 0, machines * 2 / 100));
    double scale = machines / 690.0;
    Team[] teams = new Team[6];
    for (int i = 0; i < teams.length; i++) {
      teams[i] = team("crew-" + i, 1500 * scale, 3500 * scale);
    }
    List<JobClass> classes =
        List.of(
            new JobClass(
                "intake",
                JobKind.SERVICE,
                Priority.PRODUCTION,
                (int) (442 * scale),
                32 * scale,
                6,
                new Resources(2, 0, 2.1),
                800,
                2,
                12,
                true,
                false,
                0,
                0),
            new JobClass(
                "sync",
                JobKind.ARRAY,
                Priority.NORMAL,
                (int) (44 * scale),
                41 * scale,
                100,
                new Resources(2, 0, 2.8),
                40,
                2,
                18,
                false,
                true,
                0,
                115),
            new JobClass(
                "train",
                JobKind.GANG,
                Priority.NORMAL,
                (int) (17 * scale),
                7.7 * scale,
                1,
                new Resources(86, 8, 310),
                80,
                8,
                4,
                false,
                false,
                15,
                0));
    return new ClusterSpec(
        List.of("left", "right", "left"),
        List.of("left", "right"),
        List.of(small, wide, cards),
        pools,
        machines,
        teams(teams),
        workers(3, 17.5, 35, 8, 42.5),
        new Settings.StoreLimits(700, 60, 4096, 8),
        new Settings.CloudLimits(4, TimeSpan.ofSeconds(8)),
        new Settings.ProcessLimits(1.1, 414, 2700),
        List.of(
            new Settings.Objective("wait", "intake", TimeSpan.ofSeconds(1), 1, 0.94),
            new Settings.Objective("wait", "train", TimeSpan.ofSeconds(150), 1, 0.96)),
        TimeSpan.ofSeconds(4),
        false,
        classes);
  }

  /** The limits that the state service of a trial deployment has after it lowered them. */
  static final Settings.StoreLimits TRY_OUT_NEXT = new Settings.StoreLimits(400, 80, 2048, 8);

  /**
   * A deployment to try on one computer in real time: short leases, fast boots.
   *
   * @param machines the capacity of the cloud
   * @param allUp whether all machines are up at the start, rather than a third
   */
  static ClusterSpec tryOut(int machines, boolean allUp) {
    MachineType type =
        new MachineType(
            "box-8",
            new Resources(8, 0, 32),
            20,
            1,
            0.5,
            0.2,
            TimeSpan.ofSeconds(3),
            List.of("east", "north", "west"));
    List<Pool> pools = new ArrayList<>();
    for (int i = 0; i < type.zones().size(); i++) {
      int ordinary = machines * 2 / 3 / 3 + (i < machines * 2 / 3 % 3 ? 1 : 0);
      int spot = machines / 3 / 3 + 1;
      pools.add(
          new Pool(
              "box-8",
              type.zones().get(i),
              false,
              allUp ? ordinary : Math.max(1, machines / 9),
              ordinary));
      pools.add(new Pool("box-8", type.zones().get(i), true, allUp ? spot : 0, spot));
    }
    double cpus = 8.0 * machines;
    return new ClusterSpec(
        type.zones(),
        type.zones(),
        List.of(type),
        pools,
        machines,
        teams(team("web", 0.4 * cpus, 0.8 * cpus), team("batch", 0.4 * cpus, cpus)),
        workers(2, 12, 20, 4, 36),
        new Settings.StoreLimits(400, 120, 8192, 24),
        new Settings.CloudLimits(5, TimeSpan.ofSeconds(2)),
        new Settings.ProcessLimits(1, 360, 3000),
        List.of(new Settings.Objective("wait", "front", TimeSpan.ofSeconds(5), 1, 0.9)),
        TimeSpan.ofSeconds(0),
        false,
        List.of());
  }

  /** A copy of this deployment with other teams. */
  ClusterSpec with(Map<String, Team> other) {
    return new ClusterSpec(
        nodeZones,
        zones,
        types,
        pools,
        maxMachines,
        other,
        workers,
        stateLimits,
        cloudLimits,
        quota,
        objectives,
        restart,
        unreliableMachines,
        classes);
  }

  /** A copy of this deployment with other agent timeouts. */
  ClusterSpec with(Settings.AgentTimeouts other) {
    return new ClusterSpec(
        nodeZones,
        zones,
        types,
        pools,
        maxMachines,
        teams,
        other,
        stateLimits,
        cloudLimits,
        quota,
        objectives,
        restart,
        unreliableMachines,
        classes);
  }

  /** A copy of this deployment with other limits of the state service. */
  ClusterSpec with(Settings.StoreLimits other) {
    return new ClusterSpec(
        nodeZones,
        zones,
        types,
        pools,
        maxMachines,
        teams,
        workers,
        other,
        cloudLimits,
        quota,
        objectives,
        restart,
        unreliableMachines,
        classes);
  }

  /** The settings of controller {@code node}; {@code state} is its address of the state service. */
  Settings settings(
      int node,
      List<Endpoint> listen,
      List<Endpoint> peerAddresses,
      Endpoint cloud,
      Endpoint state) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (int other = 0; other < nodes(); other++) {
      if (other != node) {
        peers.add(
            new Settings.Peer(
                new ControllerId(nodeName(other)), nodeZones.get(other), peerAddresses.get(other)));
      }
    }
    return new Settings(
        new ControllerId(nodeName(node)),
        nodeZones.get(node),
        listen.get(node),
        peerAddresses.get(node),
        peers,
        cloud,
        state,
        zones,
        teams,
        objectives,
        workers,
        stateLimits,
        cloudLimits,
        TimeSpan.ofSeconds(1),
        quota);
  }
}
