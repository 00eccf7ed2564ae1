"""State machine of the control log: what all instances have agreed on."""

from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from sassafraspin.backends import (
    Evacuation,
    EvacuationStore,
    Retirement,
    RetirementStore,
)
from sassafraspin.control.commands import (
    AdvanceMove,
    ChangeView,
    Command,
    CommandOutcome,
    DeclareMove,
    EvacuateZone,
    IsolatePart,
    OutcomeKind,
    PutProfile,
    PutTable,
    ReadmitPart,
    ReinstateServer,
    ReopenZone,
    RetireServer,
    UndoMove,
)
from sassafraspin.isolation import IsolatedPart, IsolationStore
from sassafraspin.membership import View
from sassafraspin.moves import Move, MoveAccepted, MoveDecision, MoveRefused, MoveStore
from sassafraspin.profiles import (
    ProfileChange,
    ProfileConflict,
    ProfileDecision,
    ProfileStore,
    ProfileUnchanged,
    ProfileUpdated,
)
from sassafraspin.routes import DeclaredTable

__all__ = ["ControlState"]

_MAX_RETAINED_OUTCOMES = 5_000
"""Number of newest outcomes kept; a resend of an older command is applied again."""

VIEW_RETENTION_MS = 3_600_000
"""Time for which a replaced view is retained if records are placed by it."""


@dataclass(frozen=True)
class _TimedView:
    """A view and the wall clock time since which it is in force."""

    view: View
    since_ms: int


@dataclass(frozen=True)
class _StateSnapshot:
    """Content of a snapshot.

    ``versions`` maps each service with a completed move to its version in force;
    ``outcomes`` are pairs of ``change_id`` and outcome, oldest first.
    """

    profiles: tuple[ProfileChange, ...]
    moves: tuple[Move, ...]
    versions: dict[str, str]
    views: tuple[_TimedView, ...]
    outcomes: tuple[tuple[str, CommandOutcome], ...]
    routing: DeclaredTable | None = None
    isolated: tuple[IsolatedPart, ...] = ()
    retired: tuple[Retirement, ...] = ()
    last_retirement_index: int = 0
    evacuations: tuple[Evacuation, ...] = ()


class ControlState:
    """Applies committed commands in log order; deterministic on every instance.

    Parameters
    ----------
    index : int
        Index of the last log entry applied.
    view_retention_ms : int
        Time for which a view is retained after it was replaced, in milliseconds; 0 if
        nothing is placed by earlier views.
    """

    def __init__(
        self, index: int = 0, view_retention_ms: int = VIEW_RETENTION_MS
    ) -> None:
        self._index = index
        self._view_retention_ms = view_retention_ms
        self._profiles = ProfileStore()
        self._moves = MoveStore()
        self._views = (_TimedView(View(), 0),)
        self._routing: DeclaredTable | None = None
        self._isolation = IsolationStore()
        self._retirements = RetirementStore()
        self._evacuations = EvacuationStore()
        self._outcomes: OrderedDict[str, CommandOutcome] = OrderedDict()

    @property
    def index(self) -> int:
        """Return the index of the last log entry applied."""
        return self._index

    @property
    def profiles(self) -> ProfileStore:
        """Return the store of profiles."""
        return self._profiles

    @property
    def moves(self) -> MoveStore:
        """Return the store of moves."""
        return self._moves

    @property
    def routing(self) -> DeclaredTable | None:
        """Return the routing table in force, ``None`` if none was declared yet."""
        return self._routing

    @property
    def isolation(self) -> IsolationStore:
        """Return the store of isolated prompt parts."""
        return self._isolation

    @property
    def retirements(self) -> RetirementStore:
        """Return the store of backend servers that get no new requests."""
        return self._retirements

    @property
    def evacuations(self) -> EvacuationStore:
        """Return the store of evacuated availability zones."""
        return self._evacuations

    @property
    def view(self) -> View:
        """Return the view in force."""
        return self._views[-1].view

    @property
    def views(self) -> tuple[View, ...]:
        """Return the retained views, oldest first."""
        return tuple(item.view for item in self._views)

    def outcome(self, change_id: str) -> CommandOutcome | None:
        """Return the retained outcome of a command, ``None`` if there is none."""
        return self._outcomes.get(change_id)

    def apply(self, index: int, command: Command | None) -> CommandOutcome | None:
        """Apply the log entry at the next index.

        Parameters
        ----------
        index : int
            Log index; an index that was already applied is ignored.
        command : Command or None
            ``None`` for log entries that do not change this state.

        Returns
        -------
        CommandOutcome or None
            Outcome of the command, or the retained one if a command with the same
            ``change_id`` was applied before. ``None`` without a command, and for an
            index that was already applied.
        """
        if index <= self._index:
            return None
        self._index = index
        if command is None:
            return None
        known = self._outcomes.get(command.change_id)
        if known is not None:
            return known
        outcome = self._execute(command)
        self._store_outcome(command.change_id, outcome)
        return outcome

    def to_bytes(self) -> bytes:
        """Return a snapshot of the state."""
        snapshot = _StateSnapshot(
            self._profiles.all_history(),
            self._moves.all_moves(),
            self._moves.versions,
            self._views,
            tuple(self._outcomes.items()),
            self._routing,
            self._isolation.all_parts(),
            self._retirements.all_retirements(),
            self._retirements.last_index,
            self._evacuations.all_evacuations(),
        )
        return msgspec.msgpack.encode(snapshot)

    @classmethod
    def from_bytes(
        cls, index: int, data: bytes, view_retention_ms: int = VIEW_RETENTION_MS
    ) -> "ControlState":
        """Restore the state from a snapshot; raises ``msgspec.DecodeError``."""
        snapshot = msgspec.msgpack.decode(data, type=_StateSnapshot)
        state = cls(index, view_retention_ms)
        state._profiles = ProfileStore(snapshot.profiles)
        state._moves = MoveStore(snapshot.moves, snapshot.versions)
        state._views = snapshot.views
        state._outcomes = OrderedDict(snapshot.outcomes)
        state._routing = snapshot.routing
        state._isolation = IsolationStore(snapshot.isolated)
        state._retirements = RetirementStore(
            snapshot.retired, snapshot.last_retirement_index
        )
        state._evacuations = EvacuationStore(snapshot.evacuations)
        return state

    def _execute(self, command: Command) -> CommandOutcome:
        match command:
            case PutProfile():
                change = ProfileChange(
                    command.profile,
                    command.operator,
                    command.change_id,
                    command.at_ms,
                )
                return _profile_outcome(self._profiles.put(change))
            case PutTable():
                return self._put_table(command.declared)
            case DeclareMove():
                return _move_outcome(
                    self._moves.declare(command.spec, command.operator, command.at_ms)
                )
            case UndoMove():
                return _move_outcome(
                    self._moves.undo(command.name, command.operator, command.at_ms)
                )
            case AdvanceMove():
                return _move_outcome(self._moves.advance(command.step, command.at_ms))
            case ChangeView():
                return self._change_view(command)
            case IsolatePart():
                isolated = IsolatedPart(command.part, command.servers, command.at_ms)
                return _outcome(self._isolation.isolate(isolated))
            case ReadmitPart():
                return _outcome(self._isolation.readmit(command.part))
            case RetireServer():
                return _outcome(
                    self._retirements.retire(command.retirement, self._index)
                )
            case ReinstateServer():
                return _outcome(self._retirements.end(command.retirement))
            case EvacuateZone():
                evacuation = Evacuation(command.zone, command.at_ms)
                return _outcome(self._evacuations.begin(evacuation))
            case ReopenZone():
                return _outcome(self._evacuations.end(command.zone))

    def _put_table(self, declared: DeclaredTable) -> CommandOutcome:
        """Install a routing table unless one of the same or a higher version exists."""
        current = self._routing
        if current is not None and declared.table.version <= current.table.version:
            return CommandOutcome(OutcomeKind.UNCHANGED, "a higher version is in force")
        self._routing = declared
        return CommandOutcome(OutcomeKind.ACCEPTED)

    def _change_view(self, command: ChangeView) -> CommandOutcome:
        view = command.view
        if view.number != self.view.number + 1:
            return CommandOutcome(OutcomeKind.CONFLICT, "not the next view")
        timed = _TimedView(view, command.at_ms)
        self._views = (*self._recent_views(command.at_ms), timed)
        return CommandOutcome(OutcomeKind.ACCEPTED)

    def _recent_views(self, now_ms: int) -> tuple[_TimedView, ...]:
        """Return the views that were in force within the retention period."""
        replaced_at = [item.since_ms for item in self._views[1:]] + [now_ms]
        return tuple(
            item
            for item, until_ms in zip(self._views, replaced_at, strict=True)
            if now_ms - until_ms < self._view_retention_ms
        )

    def _store_outcome(self, change_id: str, outcome: CommandOutcome) -> None:
        self._outcomes[change_id] = outcome
        while len(self._outcomes) > _MAX_RETAINED_OUTCOMES:
            self._outcomes.popitem(last=False)


def _profile_outcome(decision: ProfileDecision) -> CommandOutcome:
    match decision:
        case ProfileUpdated(change):
            return CommandOutcome(OutcomeKind.ACCEPTED, profile=change)
        case ProfileUnchanged(change):
            return CommandOutcome(OutcomeKind.UNCHANGED, profile=change)
        case ProfileConflict(current):
            reason = "the version is not the next one"
            return CommandOutcome(OutcomeKind.CONFLICT, reason, profile=current)


def _move_outcome(decision: MoveDecision) -> CommandOutcome:
    match decision:
        case MoveAccepted(move):
            return CommandOutcome(OutcomeKind.ACCEPTED, move=move)
        case MoveRefused(refusal, current):
            return CommandOutcome(OutcomeKind.REFUSED, refusal.value, move=current)


def _outcome(is_changed: bool) -> CommandOutcome:
    return CommandOutcome(OutcomeKind.ACCEPTED if is_changed else OutcomeKind.UNCHANGED)
