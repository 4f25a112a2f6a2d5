"""The registered targets by id, with an index by service."""

from collections.abc import Iterator, Mapping

from fescuequay_core.relay.model import TargetDescription
from fescuequay_core.types import ServiceId, TargetId


class Registry(Mapping[TargetId, TargetDescription]):
    """The targets by id; those of one service are found without a look at the others."""

    def __init__(self) -> None:
        self._targets_by_id: dict[TargetId, TargetDescription] = {}
        self._by_service: dict[ServiceId, dict[TargetId, TargetDescription]] = {}

    def __getitem__(self, target: TargetId) -> TargetDescription:
        """:returns: A target. :raises KeyError: It is not registered."""
        return self._targets_by_id[target]

    def __setitem__(self, target: TargetId, description: TargetDescription) -> None:
        """Add or replace a target; one that stays with its service keeps its place among the others."""
        known = self._targets_by_id.get(target)
        if known is not None and known.service != description.service:
            self._by_service[known.service].pop(target)
        self._targets_by_id[target] = description
        self._by_service.setdefault(description.service, {})[target] = description

    def __iter__(self) -> Iterator[TargetId]:
        """:returns: The ids of the targets."""
        return iter(self._targets_by_id)

    def __len__(self) -> int:
        """:returns: Number of targets."""
        return len(self._targets_by_id)

    def get_all(self) -> Mapping[TargetId, TargetDescription]:
        """:returns: The targets, as a dict that is quickly compared."""
        return self._targets_by_id

    def remove(self, target: TargetId) -> bool:
        """:returns: Whether the target was registered, so that it has been removed now."""
        known = self._targets_by_id.pop(target, None)
        if known is not None:
            self._by_service[known.service].pop(target)
        return known is not None

    def of_service(self, service: ServiceId) -> Iterator[TargetDescription]:
        """:returns: The targets of a service."""
        return iter(self._by_service.get(service, {}).values())
