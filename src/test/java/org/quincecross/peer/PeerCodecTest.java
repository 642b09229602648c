package org.quincecross.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.quincecross.model.ControllerId;
import org.quincecross.model.FencingToken;
import org.quincecross.model.Incarnation;
import org.quincecross.model.JobId;
import org.quincecross.model.MachineId;
import org.quincecross.model.Resources;
import org.quincecross.model.Revision;
import org.quincecross.model.ShardId;
import org.quincecross.model.TaskId;
import org.quincecross.model.TimeSpan;
import org.quincecross.protocol.MalformedMessageException;

class PeerCodecTest {
  // A generator is easier to read in one piece.
  @SuppressWarnings("MethodLength")
  @Provide
  static Arbitrary<PeerHeartbeat> heartbeats() {
    var jobs = Arbitraries.integers().between(0, 99_999).map(n -> new JobId("job-" + n));
    var tasks =
        Combinators.combine(jobs, Arbitraries.integers().between(0, 99_999))
            .as(TaskId::new)
            .list()
            .ofMaxSize(20);
    var names = Arbitraries.strings().ofMaxLength(10);
    var machines =
        Combinators.combine(
                names,
                Arbitraries.doubles().between(0, 1000),
                Arbitraries.longs(),
                Arbitraries.of(true, false),
                Arbitraries.integers(),
                names.list().ofMaxSize(4))
            .as(
                (name, free, silent, flag, n, images) ->
                    new PeerHeartbeat.MachineState(
                        new MachineId(name),
                        new Resources(free, 0, free),
                        new Resources(0, free, 1),
                        new TimeSpan(silent),
                        !flag,
                        flag,
                        !flag,
                        flag,
                        !flag,
                        n,
                        n,
                        images,
                        images));
    var blocks =
        Combinators.combine(
                names, Arbitraries.longs(), tasks, tasks, jobs, machines.list().ofMaxSize(6))
            .as(
                (name, token, completed, released, job, states) ->
                    new PeerHeartbeat.ShardStatus(
                        new ShardId(name),
                        new FencingToken(token),
                        new Revision(token),
                        token % 3 == 0,
                        token % 5 == 0 ? Set.of(job) : Set.of(),
                        token % 2 == 0,
                        completed,
                        released,
                        Map.of(job, 3),
                        states));
    return Combinators.combine(
            names,
            Arbitraries.longs().between(1, Long.MAX_VALUE),
            blocks.list().ofMaxSize(4),
            names.map(MachineId::new).list().ofMaxSize(3))
        .as(
            (name, number, list, strays) ->
                new PeerHeartbeat(
                    new ControllerId(name),
                    new Incarnation(number),
                    number,
                    number / 2,
                    Map.of(
                        new ControllerId(name),
                        new PeerHeartbeat.Receipt(new Incarnation(number), number, true)),
                    new Revision(number),
                    new TimeSpan(number),
                    list,
                    strays));
  }

  @Property(tries = 200, seed = "6")
  void writtenHeartbeatReadsTheSame(@ForAll("heartbeats") PeerHeartbeat heartbeat)
      throws MalformedMessageException {
    assertEquals(heartbeat, PeerCodec.read(PeerCodec.write(heartbeat)));
  }

  @Property(tries = 200, seed = "7")
  void truncatedHeartbeatIsMalformedMessage(@ForAll("heartbeats") PeerHeartbeat heartbeat) {
    byte[] whole = PeerCodec.write(heartbeat);
    byte[] part = Arrays.copyOf(whole, whole.length - 1);
    byte[] more = Arrays.copyOf(whole, whole.length + 1);
    for (byte[] bad : List.of(part, more)) {
      assertThrows(MalformedMessageException.class, () -> PeerCodec.read(bad));
    }
  }

  @Property(tries = 500, seed = "8")
  void garbageIsMalformedMessage(@ForAll byte[] garbage) {
    assertThrows(MalformedMessageException.class, () -> PeerCodec.read(garbage));
  }
}
