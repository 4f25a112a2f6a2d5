"""Transition systems for z3: proof by induction and bounded search for counterexamples."""

import dataclasses
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import z3
from z3 import z3util

#: State of a system: z3 terms by variable name.
State = Mapping[str, Any]

#: Relation between a state and the next one. The function gets each guard's name and condition, and returns the
#: condition, or true where the guard is removed.
Step = Callable[[State, State, Callable[[str, Any], Any]], Any]


@dataclasses.dataclass(frozen=True)
class Guard:
    """A condition of an action that can be removed to show that the properties need it.

    :param name: Name in reports.
    :param carried_by: Function that implements it, as ``module:qualified.name``.
    :param path: Steps of a run that violates a property without the guard. Without a path such a run is searched for,
        which takes minutes in a system with many actions.
    """

    name: str
    carried_by: str
    path: tuple['Step', ...] = ()


@dataclasses.dataclass(frozen=True)
class Action:
    """One step of a system.

    :param name: Name in a counterexample.
    :param carried_by: Function that implements it, as ``module:qualified.name``, or ``environment``.
    :param step: Relation between the state before and the state after.
    """

    name: str
    carried_by: str
    step: Step


@dataclasses.dataclass(frozen=True)
class System:
    """A protocol, its invariant and the properties that must hold.

    :param name: Name in reports.
    :param sorts: Sort of each variable.
    :param initial: Condition on the initial state.
    :param actions: Its actions.
    :param invariant: Conjuncts of the inductive invariant, by name.
    :param properties: Properties that must always hold and follow from the invariant, by name.
    :param guards: Conditions that can be removed, by name.
    :param depth: Greatest length of a counterexample that is searched for.
    """

    name: str
    sorts: Mapping[str, z3.SortRef]
    initial: Callable[[State], Any]
    actions: tuple[Action, ...]
    invariant: Callable[[State], Mapping[str, Any]]
    properties: Callable[[State], Mapping[str, Any]]
    guards: Mapping[str, Guard]
    depth: int


def state(system: System, step: int) -> dict[str, Any]:
    """:returns: The variables of a system at one step."""
    return {name: z3.Const(f'{name}@{step}', sort) for name, sort in system.sorts.items()}


def unchanged(before: State, after: State, *names: str) -> Any:
    """:returns: The condition that the named variables keep their values."""
    return z3.And(*(after[name] == before[name] for name in names))


def update(before: State, after: State, **changes: Any) -> Any:
    """:returns: The condition that the given variables get the given values and all others keep theirs."""
    kept = [after[name] == before[name] for name in before if name not in changes]
    return z3.And(*(after[name] == value for name, value in changes.items()), *kept)


def prove(system: System) -> Iterator[tuple[str, bool]]:
    """Prove the invariant by induction and each property from it.

    :param system: The system.
    :returns: Each proof's name and whether it succeeded.
    """
    first, before, after = state(system, 0), state(system, 1), state(system, 2)
    for name, claim in system.invariant(first).items():
        yield f'{name}: initially', _is_valid(z3.Implies(system.initial(first), claim))
    hypothesis = z3.And(*system.invariant(before).values())
    for action in system.actions:
        transition = action.step(before, after, _with_all_guards)
        for name, claim in system.invariant(after).items():
            yield f'{name}: after {action.name}', _is_valid(z3.Implies(z3.And(hypothesis, transition), claim))
    for name, claim in system.properties(before).items():
        yield f'{name}: follows from the invariant', _is_valid(z3.Implies(hypothesis, claim))


def counterexample(system: System, removed: str) -> list[str] | None:
    """Search for the shortest run that violates a property without one guard, or check that the guard's path does.

    :param system: The system.
    :param removed: Name of the guard that is removed.
    :returns: The actions of the run and the violated property, or nothing if there is no such run within the depth.
    """
    path = system.guards[removed].path

    def without(name: str, condition: Any) -> Any:
        return z3.BoolVal(val=True) if name == removed else condition

    states = [state(system, 0)]
    solver = z3.Solver()
    solver.add(system.initial(states[0]))
    choices: list[Any] = []
    for step in range(len(path) or system.depth):
        after = state(system, step + 1)
        choice = z3.Int(f'choice@{step}')
        choices.append(choice)
        solver.add(
            z3.Or(
                *(
                    z3.And(choice == number, _rename_choices(action.step(states[-1], after, without), step))
                    for number, action in enumerate(system.actions)
                    if not path or action.step is path[step]
                )
            )
        )
        states.append(after)
        for name, claim in system.properties(after).items():
            if solver.check(z3.Not(claim)) == z3.sat:
                return _trace(system, solver.model(), choices, states, name)
    return None


def guard_names(system: System) -> set[str]:
    """:returns: The names of all guards that the actions of a system apply."""
    found: set[str] = set()

    def record_name(name: str, condition: Any) -> Any:
        found.add(name)
        return condition

    for action in system.actions:
        action.step(state(system, 0), state(system, 1), record_name)
    return found


def _rename_choices(relation: Any, step: int) -> Any:
    """Give the free variables of a step, such as the time after it, names of their own for that step."""
    choices = [name for name in z3util.get_vars(relation) if '@' not in str(name)]
    return z3.substitute(relation, *((name, z3.Const(f'{name}@{step}', name.sort())) for name in choices))


def _with_all_guards(name: str, condition: Any) -> Any:
    return condition


def _is_valid(claim: Any) -> bool:
    solver = z3.Solver()
    solver.add(z3.Not(claim))
    return bool(solver.check() == z3.unsat)


def _trace(system: System, model: Any, choices: list[Any], states: list[dict[str, Any]], violated: str) -> list[str]:
    lines = []
    for choice, before, after in zip(choices, states, states[1:], strict=False):
        action = system.actions[model.eval(choice, model_completion=True).as_long()]
        changes = ', '.join(_changes(model, before, after))
        lines.append(f'{action.name}: {changes}')
    return [*lines, f'this violates "{violated}"']


def _changes(model: Any, before: dict[str, Any], after: dict[str, Any]) -> Iterator[str]:
    for name in before:
        old = model.eval(before[name], model_completion=True)
        new = model.eval(after[name], model_completion=True)
        if not z3.eq(old, new):
            yield f'{name} {old} -> {new}'
