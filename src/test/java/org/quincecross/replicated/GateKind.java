package org.quincecross.replicated;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A record kind for tests: a closed gate blocks all tasks of the job of its name; each passing is
 * counted.
 */
public final class GateKind implements RecordKind<GateKind.State, GateKind.Command> {
  public record State(boolean closed, long passed) {}

  public enum Command {
    CLOSE,
    OPEN,
    PASS
  }

  @Override
  public String name() {
    return "gate";
  }

  @Override
  public State initial() {
    return new State(false, 0);
  }

  @Override
  public State read(Map<String, Object> value) throws MalformedRecordException {
    RecordFields in = RecordFields.of(value, "a gate");
    return new State(in.flagOr("closed", false), in.integer("passed", 0, Long.MAX_VALUE));
  }

  @Override
  public Map<String, Object> write(State state) {
    Map<String, Object> out = new LinkedHashMap<>();
    out.put("closed", state.closed());
    out.put("passed", state.passed());
    return out;
  }

  @Override
  public Command command(Map<String, Object> body) throws MalformedRecordException {
    return RecordFields.of(body, "the command")
        .allowOnly(List.of("do"))
        .enumConstant("do", Command.class);
  }

  @Override
  public Transition<State> step(State state, Command command, CommandOrigin at) {
    return switch (command) {
      case PASS ->
          state.closed()
              ? new Transition.Refused<>(409, "it is closed")
              : changed(new State(false, state.passed() + 1), "passed");
      case CLOSE ->
          state.closed()
              ? new Transition.Unchanged<>("it is closed already")
              : changed(new State(true, state.passed()), "closed");
      case OPEN ->
          state.closed()
              ? changed(new State(false, state.passed()), "opened")
              : new Transition.Unchanged<>("it is open already");
    };
  }

  private static Transition<State> changed(State next, String event) {
    return new Transition.Changed<>(next, List.of(new AuditEvent(event, Map.of())));
  }

  @Override
  public List<Map<String, Object>> rows(String id, State state, CommandOrigin at) {
    return List.of(Map.of("gate", id, "closed", state.closed(), "passed", state.passed()));
  }

  @Override
  public boolean canBlockTasks() {
    return true;
  }

  @Override
  public boolean blocksMoreTasks(State before, State next) {
    return !before.closed() && next.closed();
  }
}
