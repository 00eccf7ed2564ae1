"""Discovery of the control instances by one instance, without I/O."""

from dataclasses import dataclass

from sassafraspin.discovery.messages import ControlMap, InstanceCard, Seek
from sassafraspin.settings import Address, NamedAddress

__all__ = ["ControlDiscovery", "DiscoverySettings"]


@dataclass(frozen=True)
class DiscoverySettings:
    """Settings of the discovery of control instances.

    Parameters
    ----------
    seeds : tuple of Address
        Addresses of instances to ask for the control instances.
    founds : bool
        Whether this instance bootstraps the quorum: it chooses the first control
        instances. Set on at most one instance.
    control_instances : int
        Number of control instances to choose.
    interval : float
        Time between two queries to the seeds, in seconds.
    settle : float
        Minimum time since the start before it chooses, in seconds.
    patience : float
        Time since the start after which it accepts fewer instances than
        ``control_instances``, in seconds.
    """

    seeds: tuple[Address, ...]
    founds: bool
    control_instances: int
    interval: float = 0.25
    settle: float = 1.0
    patience: float = 4.0


class ControlDiscovery:
    """Finds the control instances by querying the seeds.

    The instance that bootstraps the quorum chooses the first control instances among
    those that may be chosen, see ``InstanceCard.may_found``.

    Parameters
    ----------
    settings : DiscoverySettings
        Settings of the discovery.
    card : InstanceCard
        Identity and address of this instance.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, settings: DiscoverySettings, card: InstanceCard, now: float):
        self._settings = settings
        self._card = card
        self._started_at = now
        self._next_query_at = now
        self._quorum_candidates = {card.name: card} if card.may_found else {}
        self._control: tuple[NamedAddress, ...] = ()

    @property
    def control(self) -> tuple[NamedAddress, ...]:
        """Return the control instances, empty while they are unknown."""
        return self._control

    def replace_control(self, control: tuple[NamedAddress, ...]) -> None:
        """Replace the known control instances with newer ones."""
        self._control = control

    def tick(self, now: float) -> list[tuple[Address, Seek]]:
        """Return the queries to send, none once the control instances are known.

        The instance that bootstraps the quorum first chooses them if it is time.
        """
        if self._control:
            return []
        if self._settings.founds:
            self._choose_first_quorum(now)
        if self._control or now < self._next_query_at:
            return []
        self._next_query_at = now + self._settings.interval
        own = Address(self._card.host, self._card.port)
        seek = Seek(self._card)
        return [(seed, seek) for seed in self._settings.seeds if seed != own]

    def receive(self, message: Seek | ControlMap) -> None:
        """Record the sender of a query as a candidate, or adopt an answer.

        Only an instance that may be chosen is recorded. An answer is ignored if the
        control instances are known. The daemon sends the answers to queries.
        """
        match message:
            case Seek(card):
                if card.may_found:
                    self._quorum_candidates[card.name] = card
            case ControlMap(instances):
                if not self._control:
                    self._control = instances

    def _choose_first_quorum(self, now: float) -> None:
        """Choose the first control instances, spread over availability zones.

        If too few instances are found in time, the largest odd number of those found
        is chosen.
        """
        waited = now - self._started_at
        wanted = self._settings.control_instances
        available = len(self._quorum_candidates)
        if waited < self._settings.settle or available == 0:
            return
        if available < wanted:
            if waited < self._settings.patience:
                return
            wanted = available - 1 + available % 2
        chosen = _interleave_zones(list(self._quorum_candidates.values()))[:wanted]
        self._control = tuple(sorted((card.address for card in chosen), key=_by_name))


def _interleave_zones(cards: list[InstanceCard]) -> list[InstanceCard]:
    """Order instances round-robin over their availability zones."""
    seen: dict[str, int] = {}
    ranked = []
    for card in sorted(cards, key=lambda item: item.name):
        rank = seen.get(card.availability_zone, 0)
        seen[card.availability_zone] = rank + 1
        ranked.append((rank, card.availability_zone, card))
    return [item[2] for item in sorted(ranked, key=lambda item: item[:2])]


def _by_name(address: NamedAddress) -> str:
    return address.name
