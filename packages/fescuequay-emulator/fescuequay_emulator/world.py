"""A simulated deployment of real instances, and operations that inject faults into it."""

import asyncio
import collections
import contextvars
import dataclasses
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Final, TypeVar

from fescuequay_core.relay.lease import SETTLE_AFTER_S
from fescuequay_core.relay.model import (
    Configuration,
    Consistency,
    Credential,
    DatabaseName,
    Evacuation,
    OrganisationPolicy,
    Route,
    ServicePolicy,
    TargetDescription,
)
from fescuequay_core.relay.permits import PERMIT_S
from fescuequay_core.types import OrganisationId, Role, ServiceId, TargetId, Term
from fescuequay_emulator import statements
from fescuequay_emulator.callers import ModelListener
from fescuequay_emulator.checker import (
    LIMIT_OVERAGE,
    LIMIT_SLACK,
    MAX_APPLY_S,
    Checker,
    ObservedEvacuation,
    PrimaryChange,
    Violation,
)
from fescuequay_emulator.connections import ModelDriver
from fescuequay_emulator.hops import ModelHops, ModelLink
from fescuequay_emulator.network import CutMode, Network
from fescuequay_emulator.peers import PROMOTER_NODE, ModelPeers, ModelPromoter
from fescuequay_emulator.table import TABLE_NODE, FeedEntries, ModelFeed, ModelTable, Store
from fescuequay_emulator.targets import Commit, ModelTarget
from fescuequay_emulator.virtual_loop import VirtualLoop, current_process
from fescuequay_emulator.wire import Wire
from fescuequay_entry.relay.hops import HopAcceptor
from fescuequay_entry.relay.instance import Adapters, Instance
from fescuequay_entry.relay.ports import OperatorEntry
from fescuequay_entry.relay.settings import MachineLimits, RelaySettings

Result = TypeVar('Result')

DATA_CENTRES: Final = ('north', 'south', 'east', 'west')

#: Time without heartbeats after which the registry removes a target, in seconds.
_REGISTRY_EXPIRY_S: Final = 3.6

#: Time for which targets count the connections of an instance that lost power, in seconds.
_DEAD_CONNECTION_S: Final = 3.0

#: Time after the begin of an era of the table for which permits of the earlier era may be valid, in seconds: the rest
#: of the last holder's lease, or until another one settles the era, and a permit.
_EARLIER_ERA_PERMIT_S: Final = SETTLE_AFTER_S + PERMIT_S

#: Time from the settlement of the first era until every service has a primary, in seconds.
_START_S: Final = 3.0

#: Interval of the check of every instance's permits, in seconds; much shorter than an exchange.
_PERMIT_CHECK_INTERVAL_S: Final = 0.02

_MS_PER_S: Final = 1000

#: Shortest time between the end and the restart of an instance, in seconds.
_MIN_RESTART_DELAY_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Size of a simulated deployment.

    :param instances: Number of instances.
    :param services: Number of services.
    :param copies: Number of targets of each service.
    :param slots: Number of statements that a target executes concurrently.
    :param max_connections: Number of connections that a target accepts.
    :param work_s: Median time of a statement, in seconds.
    :param promote_s: Duration of a promotion, in seconds.
    :param organisations: Number of organisations.
    :param rate_per_s: Rate of each organisation.
    :param burst: Burst of each organisation.
    :param counts_bytes: Whether the messages between instances and their bytes are counted.
    :param cores: What each instance can bear as a gateway, in cores; 0 if none is used.
    :param idle_services: Number of further services, which the ordinary load leaves alone.
    """

    instances: int = 5
    services: int = 2
    copies: int = 3
    slots: int = 4
    max_connections: int = 40
    work_s: float = 0.02
    promote_s: float = 0.3
    organisations: int = 3
    rate_per_s: float = 40.0
    burst: float = 40.0
    counts_bytes: bool = False
    cores: float = 0.0
    idle_services: int = 0

    def services_by_number(self) -> range:
        """:returns: Numbers of all services; the idle ones are the last."""
        return range(self.services + self.idle_services)


class World:
    """A deployment in virtual time.

    :param plan: Size of the deployment.
    :param seed: Seed of the random number generators.
    :param wire: Encoding between callers, instances and targets; by default messages are handed over as they are.
    """

    def __init__(self, plan: Plan, seed: int, wire: Wire | None = None) -> None:
        self.plan = plan
        self.wire = wire
        self.loop = VirtualLoop()
        # Instances randomise their pauses with the global generator, so it is seeded too.
        random.seed(seed)
        self.rng = random.Random(seed)
        self.network = Network(self.rng)
        self.network.add(TABLE_NODE, DATA_CENTRES[-1])
        self.network.add(PROMOTER_NODE, DATA_CENTRES[-1])
        #: Instances that wait to hear of the next request for a promotion, which names its sender.
        self._promotion_watchers: list[asyncio.Future[str]] = []
        self.store = Store(self.network, self.rng)
        self.operator_entries: FeedEntries[OperatorEntry] = FeedEntries(self.store)
        self.registry: FeedEntries[TargetDescription] = FeedEntries(self.store)
        self.checker = Checker(wire)
        self.targets: dict[str, ModelTarget] = {}
        self.instances: dict[str, Instance] = {}
        self.listeners: dict[str, ModelListener] = {}
        self.names_by_address: dict[str, str] = {}
        #: What accepts streams at each instance, the open ends of streams, and the number of streams opened so far.
        self.acceptors: dict[str, HopAcceptor] = {}
        self.links: dict[ModelLink, None] = {}
        self.opened_streams = 0
        self.data_centres_by_instance: dict[str, str] = {}
        self.control_bytes: collections.Counter[str] = collections.Counter()
        self.control_messages: collections.Counter[str] = collections.Counter()
        #: Numbers of messages that held a request inside, and of answers that held another one.
        self.hidden_requests = 0
        self.hidden_answers = 0
        self._counting_since = 0.0
        self.violations: dict[str, Violation] = {}
        self._targets_by_address: dict[str, ModelTarget] = {}
        self._incarnations = 0

    def run(self, step: Callable[['World'], Awaitable[None]]) -> None:
        """Run the loop until a step has finished, then end all tasks.

        :param step: The coroutine function to run.
        """
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(step(self))
        finally:
            self.loop.kill_all()
            # Lets the loop process the cancellations.
            self.loop.run_until_complete(asyncio.sleep(0.1))
            self.loop.close()

    async def start(self) -> None:
        """Start targets, configuration and instances, and wait until every service has a primary."""
        self.put_configuration(self.initial_configuration())
        self._watchers = [
            asyncio.ensure_future(self._watch_permit_holders()),
            asyncio.ensure_future(self.store.keep_copies()),
        ]
        for service in self.plan.services_by_number():
            self._add_service(ServiceId(f's{service}'))
        for number in range(self.plan.instances):
            self.start_instance(f'n{number}', DATA_CENTRES[number % len(DATA_CENTRES)])
        await asyncio.sleep(_START_S + SETTLE_AFTER_S)

    def reset_counters(self) -> None:
        """Restart the counts of calls to the table and of messages between instances."""
        self.control_bytes.clear()
        self.control_messages.clear()
        self.store.calls = 0
        self._counting_since = self.loop.time()

    def counted_duration_s(self) -> float:
        """:returns: Time since the counters were reset."""
        return self.loop.time() - self._counting_since

    def initial_configuration(self) -> Configuration:
        """:returns: A configuration with a route of every kind for each service, and one key per organisation."""
        plan = self.plan
        routes: dict[str, Route] = {}
        for number in plan.services_by_number():
            for consistency in Consistency:
                database = DatabaseName(f'{consistency.value}-{number}')
                staleness_s = {Consistency.PRIMARY: 0.0, Consistency.BOUNDED: 1.5}.get(consistency, 2.5)
                routes[database] = Route(
                    database, database, ServiceId(f's{number}'), consistency, staleness_s, 1.0, 0.3, 1, is_open=False
                )
        names = [OrganisationId(f'o{number}') for number in range(plan.organisations)]
        return Configuration(
            1,
            3.0,
            routes,
            {
                f's{number}': ServicePolicy(ServiceId(f's{number}'), plan.max_connections, 0)
                for number in plan.services_by_number()
            },
            {name: OrganisationPolicy(name, plan.rate_per_s, plan.burst) for name in names},
            {f'key-{name}': name for name in names},
        )

    def put_configuration(self, configuration: Configuration) -> None:
        """Write a configuration, as the operator does."""
        self.operator_entries.put('config', configuration)
        self.checker.configurations.append((self.loop.time(), configuration))

    def evacuate(self, data_centre: str) -> Callable[[], None]:
        """Evacuate a data centre, as the operator does.

        :returns: A function that lifts the evacuation.
        """
        key = f'evacuate {data_centre}'
        self.operator_entries.put(key, Evacuation(data_centre))
        evacuation = ObservedEvacuation(data_centre, self.loop.time())
        self.checker.evacuations.append(evacuation)

        def lift() -> None:
            evacuation.lifted_at = self.loop.time()
            self.operator_entries.remove(key)

        return lift

    def withdraw_key(self, credential: str) -> None:
        """Withdraw a key, as the operator does."""
        newest = self.checker.configurations[-1][1]
        kept = {key: name for key, name in newest.organisation_ids_by_credential.items() if key != credential}
        self.put_configuration(
            dataclasses.replace(newest, version=newest.version + 3, organisation_ids_by_credential=kept)
        )

    def start_instance(self, name: str, data_centre: str) -> Instance:
        """Start an instance in a data centre."""
        self.network.add(name, data_centre)
        self.data_centres_by_instance[name] = data_centre
        self._incarnations += 1
        self.checker.disturbed.append((name, self.loop.time()))
        settings = RelaySettings(
            name,
            data_centre,
            name,
            '0.0.0.0:1',
            '0.0.0.0:2',
            (1, 2),
            '0.0.0.0:3',
            '0.0.0.0:4',
            limit_overage=LIMIT_OVERAGE,
            limit_slack=LIMIT_SLACK,
            configuration_ms=MAX_APPLY_S * _MS_PER_S,
            capacity=MachineLimits(1.0, self.plan.cores) if self.plan.cores else None,
        )
        self.names_by_address[f'{name}:1'] = name
        listener = ModelListener(self.wire, self.checker.streams)
        adapters = Adapters(
            listener,
            ModelDriver(self.network, self._targets_by_address, name, self.wire),
            ModelTable(self.store, name),
            ModelFeed(self.operator_entries, name),
            ModelFeed(self.registry, name),
            ModelPromoter(self, name),
            ModelPeers(self, name),
            statements.parse,
            ModelHops(self, name) if self.plan.cores else None,
        )
        instance = Instance(settings, adapters, self.loop.time)
        self.instances[name] = instance
        self.listeners[name] = listener
        self.spawn_as(name, instance.start)
        return instance

    async def next_promotion(self) -> str:
        """:returns: Name of the instance that next requests a promotion, as it sends the request."""
        watcher: asyncio.Future[str] = self.loop.create_future()
        self._promotion_watchers.append(watcher)
        return await watcher

    def announce_promotion(self, name: str) -> None:
        """Announce that an instance sends a request for a promotion."""
        watchers, self._promotion_watchers = self._promotion_watchers, []
        for watcher in watchers:
            if not watcher.done():
                watcher.set_result(name)

    def spawn_as(self, name: str, step: Callable[[], Awaitable[Result]]) -> asyncio.Task[Result]:
        """Run a step as a task of a simulated process."""
        context = contextvars.copy_context()
        context.run(current_process.set, name)
        return self.loop.create_task(step(), context=context)  # type: ignore[arg-type]

    def kill(self, name: str, *, is_power_loss: bool = False) -> None:
        """End an instance as SIGKILL does, if it is running.

        :param name: Name of the instance.
        :param is_power_loss: Whether it ends as in a power loss, so that targets count its connections for a while.
        """
        if self.instances.pop(name, None) is None:
            return
        self.listeners.pop(name).close_connections()
        self.loop.kill(name)
        self.acceptors.pop(name, None)
        for link in tuple(self.links):
            if link.near == name:
                # A receiver of a process that has ended hears of nothing.
                link.receiver = None
                self.links.pop(link)
                if not is_power_loss:
                    link.close()
        connections = [
            connection
            for target in self.targets.values()
            for connection in target.connections
            if connection._caller == name  # noqa: SLF001 -- the simulation closes both ends
        ]
        for connection in connections:
            if is_power_loss:
                self.loop.call_later(_DEAD_CONNECTION_S, connection.abort)
            else:
                connection.abort()

    async def restart(self, name: str, after_s: float = _MIN_RESTART_DELAY_S) -> None:
        """Kill an instance and restart it."""
        self.kill(name)
        await asyncio.sleep(after_s)
        if name not in self.instances:
            self.start_instance(name, self.data_centres_by_instance[name])

    async def stop(self, name: str) -> None:
        """Stop an instance gracefully, then restart it."""
        instance = self.instances[name]
        # The instance may be killed while it stops.
        stopping = self.spawn_as(name, instance.stop)
        await asyncio.wait({stopping})
        unanswered = instance.unanswered_count()
        if unanswered and not stopping.cancelled():
            self.violations[name] = Violation(
                'lost', self.loop.time(), f'{name} stopped as planned with {unanswered} requests unanswered'
            )
        await self.restart(name)

    def primary_of(self, service: str) -> ModelTarget:
        """:returns: The newest primary of a service; without a primary, the target with the newest log."""
        members = [target for target in self.targets.values() if target.description.service == service]
        return max(members, key=lambda target: (target.role is Role.PRIMARY, target.term, target.position()))

    def record_permit_overlaps(self, service: ServiceId, target: TargetId) -> None:
        """Record instances that hold a permit for another primary while this target is being promoted.

        They violate the guarantee even if no caller has used the old primary yet.
        """
        now = self.loop.time()
        for name, instance in self.instances.items():
            held = instance.board.permits.leader(service, now)
            if held is not None and held.target != target:
                self._record_violation(now, f'{name} may use {held.target} while {target} is promoted')

    def promote(self, name: TargetId) -> None:
        """Promote a target to primary of the next term, if it is running."""
        target = self.targets[name]
        if not target.is_alive or target.role is Role.PRIMARY:
            return
        term = Term(max(other.term for other in (target, *target.other_targets)) + 1)
        target.become_primary(term)
        self.checker.changes.append(
            PrimaryChange(self.loop.time(), target.description.service, name, term, tuple(target.log))
        )
        self._publish_description(target, role=Role.PRIMARY)

    async def crash(self, target: ModelTarget, for_s: float, *, is_silent: bool = False) -> None:
        """Crash a target, let its registry entry expire, and restart it."""
        target.crash(is_silent=is_silent)
        await asyncio.sleep(min(_REGISTRY_EXPIRY_S, for_s))
        if for_s > _REGISTRY_EXPIRY_S:
            self.registry.remove(target.name)
            await asyncio.sleep(for_s - _REGISTRY_EXPIRY_S)
        target.restart()
        self._publish_description(target, role=target.role)

    async def replace_primary(self, target: ModelTarget, for_s: float) -> None:
        """Crash a primary for good; after ``for_s`` a new target with its log starts at its address under a new id."""
        target.crash(is_silent=True)
        await asyncio.sleep(for_s)
        self.registry.remove(target.name)
        self.targets.pop(target.name)
        name = TargetId(f'{target.name}-new')
        target.description = dataclasses.replace(target.description, target=name, born_ms=2)
        self.targets[name] = target
        self.network.add(name, target.description.data_centre)
        self.checker.data_centres_by_target[name] = target.description.data_centre
        target.restart()
        self._publish_description(target, role=target.role)

    async def isolate(self, target: ModelTarget, for_s: float) -> None:
        """Cut a target off from its replicas and from the registry, where its entry expires; callers still reach it.

        When that ends, it follows a later primary.
        """
        others = [other.name for other in target.other_targets]
        for other in others:
            self.network.cut(target.name, other)
        await asyncio.sleep(min(_REGISTRY_EXPIRY_S, for_s))
        if for_s > _REGISTRY_EXPIRY_S:
            self.registry.remove(target.name)
            await asyncio.sleep(for_s - _REGISTRY_EXPIRY_S)
        for other in others:
            self.network.heal(target.name, other)
        if any(other.role is Role.PRIMARY and other.term > target.term for other in target.other_targets):
            target.become_replica()
        self._publish_description(target, role=target.role)

    def drain(self, target: ModelTarget) -> None:
        """Mark a target as draining in the registry."""
        self._publish_description(target, role=target.role, is_draining=True)

    def cut_data_centre(self, data_centre: str, how: CutMode = CutMode.SILENT) -> Callable[[], None]:
        """Cut a data centre off from all others.

        :returns: A function that restores the paths.
        """
        nodes = self.network.data_centres_by_node
        inside = [node for node, other in nodes.items() if other == data_centre]
        outside = [node for node, other in nodes.items() if other != data_centre]
        pairs = [(near, far) for near in inside for far in outside]
        for near, far in pairs:
            self.network.cut(near, far, how)

        began_at = self.loop.time()

        def heal() -> None:
            for near, far in pairs:
                self.network.heal(near, far)
            names = [node for node in inside if node in self.instances]
            self.checker.cut_off.extend((name, began_at, self.loop.time()) for name in names)

        return heal

    def credentials(self) -> tuple[Credential, ...]:
        """:returns: The keys of the first configuration."""
        return tuple(Credential(key) for key in self.checker.configurations[0][1].organisation_ids_by_credential)

    def logs_by_service(self) -> Mapping[ServiceId, tuple[Commit, ...]]:
        """:returns: The log of each service's primary."""
        return {service: tuple(self.primary_of(service).log) for service in self._services()}

    def _record_violation(self, now: float, detail: str) -> None:
        self.violations.setdefault(detail, Violation('one', now, detail))

    async def _watch_permit_holders(self) -> None:
        """Check continually that every instance with a permit is in the table, where the coordinator looks it up."""
        while True:
            await asyncio.sleep(_PERMIT_CHECK_INTERVAL_S)
            now = self.loop.time()
            if now - self.store.era_began_at < _EARLIER_ERA_PERMIT_S:
                # Promoters wait for permits of the earlier era, whose list of instances the table may have lost.
                continue
            for name, instance in self.instances.items():
                is_listed = self.store.present_row(f'member/{name}') is not None
                if not is_listed and any(instance.board.permits.leader(service, now) for service in self._services()):
                    self._record_violation(now, f'{name} may use a primary and is not in the table')

    def _services(self) -> tuple[ServiceId, ...]:
        return tuple(ServiceId(f's{number}') for number in self.plan.services_by_number())

    def _add_service(self, service: ServiceId) -> None:
        members = []
        for copy in range(self.plan.copies):
            data_centre = DATA_CENTRES[copy % len(DATA_CENTRES)]
            name = TargetId(f'{service}-t{copy}')
            role = Role.PRIMARY if copy == 0 else Role.REPLICA
            description = TargetDescription(name, 1, service, f'{name}:9', data_centre, is_draining=False, role=role)
            self.network.add(name, data_centre)
            self.checker.data_centres_by_target[name] = data_centre
            target = ModelTarget(
                self.network,
                self.rng,
                description,
                self.plan.slots,
                self.plan.work_s,
                self.checker.executions.append,
            )
            target.max_connections = self.plan.max_connections
            members.append(target)
            self.targets[name] = target
            self._targets_by_address[description.address] = target
            self.registry.put(name, description)
        for target in members:
            target.other_targets = [other for other in members if other is not target]

    def _publish_description(self, target: ModelTarget, *, role: Role, is_draining: bool = False) -> None:
        target.description = dataclasses.replace(target.description, role=role, is_draining=is_draining)
        self.registry.put(target.name, target.description)
