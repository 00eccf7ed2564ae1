"""Numbered views: which instances share the work, and in which order for a key."""

from dataclasses import dataclass
from functools import lru_cache

import xxhash

from sassafraspin.settings import NamedAddress

__all__ = ["Member", "MemberIdentity", "View"]


@dataclass(frozen=True)
class MemberIdentity:
    """One run of one instance: a restart has a new incarnation."""

    name: str
    incarnation: int


@dataclass(frozen=True)
class Member:
    """An instance as a view lists it."""

    name: str
    incarnation: int
    region: str
    availability_zone: str
    host: str
    port: int

    @property
    def identity(self) -> MemberIdentity:
        """Return the name with the incarnation."""
        return MemberIdentity(self.name, self.incarnation)

    @property
    def address(self) -> NamedAddress:
        """Return the address for messages between instances."""
        return NamedAddress(self.name, self.host, self.port)


@dataclass(frozen=True)
class View:
    """The members at one time, agreed through the control log.

    Parameters
    ----------
    number : int
        Grows by one with each change; 0 is the empty first view.
    settled : int
        Newest view whose members had all copied the records they are ranked for.
    members : tuple of Member
        Ordered by name.
    """

    number: int = 0
    settled: int = 0
    members: tuple[Member, ...] = ()

    def find(self, name: str) -> Member | None:
        """Return the member called ``name``."""
        for member in self.members:
            if member.name == name:
                return member
        return None

    def contains(self, identity: MemberIdentity) -> bool:
        """Return whether this run of the instance is a member."""
        member = self.find(identity.name)
        return member is not None and member.incarnation == identity.incarnation

    def ranked(self, key: str, count: int) -> tuple[Member, ...]:
        """Return the members that hold a key, best first (rendezvous hashing).

        When a member leaves, the ones behind it move up and all others keep their
        order, so few keys change hands. Members in availability zones that are not
        yet taken go first, so that copies are spread over zones.

        Parameters
        ----------
        key : str
            Key to place.
        count : int
            Number of members wanted.

        Returns
        -------
        tuple of Member
            ``count`` members, or all of them if there are fewer.
        """
        data = key.encode()
        order = sorted(
            self.members,
            key=lambda member: xxhash.xxh64_intdigest(data, _seed(member.name)),
        )
        chosen: list[Member] = []
        zones: set[str] = set()
        for member in order:
            if len(chosen) == count:
                break
            if member.availability_zone not in zones:
                chosen.append(member)
                zones.add(member.availability_zone)
        for member in order:
            if len(chosen) == count:
                break
            if member not in chosen:
                chosen.append(member)
        return tuple(chosen)


@lru_cache(maxsize=4096)
def _seed(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
