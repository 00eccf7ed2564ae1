"""Search of one instance for the control instances, without I/O."""

from dataclasses import dataclass

from sassafraspin.discovery.messages import ControlMap, InstanceCard, Seek
from sassafraspin.settings import Address, NamedAddress

__all__ = ["ControlSearch", "SearchSettings"]


@dataclass(frozen=True)
class SearchSettings:
    """How an instance searches.

    Parameters
    ----------
    seeds : tuple of Address
        Addresses of a few instances that may know the others.
    founds : bool
        Whether this instance chooses the first quorum. At most one instance may.
    control_instances : int
        Size of the first quorum.
    interval : float
        Time between two questions, in seconds.
    settle : float
        Time for which the founder collects instances, in seconds.
    patience : float
        Time after which the founder does with fewer instances, in seconds.
    """

    seeds: tuple[Address, ...]
    founds: bool
    control_instances: int
    interval: float = 0.25
    settle: float = 1.0
    patience: float = 4.0


class ControlSearch:
    """Asks the seeds until one knows; the founder chooses among empty disks.

    Parameters
    ----------
    settings : SearchSettings
        How to search.
    card : InstanceCard
        This instance.
    now : float
        Monotonic time in seconds.
    """

    def __init__(self, settings: SearchSettings, card: InstanceCard, now: float):
        self._settings = settings
        self._card = card
        self._since = now
        self._next_at = now
        self._founders = {card.name: card} if card.may_found else {}
        self._control: tuple[NamedAddress, ...] = ()

    @property
    def control(self) -> tuple[NamedAddress, ...]:
        """Return the control instances, empty as long as they are not known."""
        return self._control

    def replace_control(self, control: tuple[NamedAddress, ...]) -> None:
        """Take over newer control instances."""
        self._control = control

    def tick(self, now: float) -> list[tuple[Address, Seek]]:
        """Let time pass; return the questions to send."""
        if self._control:
            return []
        if self._settings.founds:
            self._choose(now)
        if self._control or now < self._next_at:
            return []
        self._next_at = now + self._settings.interval
        own = Address(self._card.host, self._card.port)
        seek = Seek(self._card)
        return [(seed, seek) for seed in self._settings.seeds if seed != own]

    def receive(self, message: Seek | ControlMap) -> None:
        """Take in another instance's card or answer."""
        match message:
            case Seek(card):
                if card.may_found:
                    self._founders[card.name] = card
            case ControlMap(instances):
                if not self._control:
                    self._control = instances

    def _choose(self, now: float) -> None:
        """Choose an odd number of instances, spread over availability zones."""
        waited = now - self._since
        wanted = self._settings.control_instances
        available = len(self._founders)
        if waited < self._settings.settle or available == 0:
            return
        if available < wanted:
            if waited < self._settings.patience:
                return
            wanted = available - 1 + available % 2
        chosen = _spread(list(self._founders.values()))[:wanted]
        self._control = tuple(sorted((card.address for card in chosen), key=_by_name))


def _spread(cards: list[InstanceCard]) -> list[InstanceCard]:
    """Order instances so that each availability zone comes once before any twice."""
    seen: dict[str, int] = {}
    ranked = []
    for card in sorted(cards, key=lambda item: item.name):
        rank = seen.get(card.availability_zone, 0)
        seen[card.availability_zone] = rank + 1
        ranked.append((rank, card.availability_zone, card))
    return [item[2] for item in sorted(ranked, key=lambda item: item[:2])]


def _by_name(address: NamedAddress) -> str:
    return address.name
