"""Attribution of server ends to prompt parts, against a model that knows the cause."""

import heapq
import itertools
import random
import unittest
from dataclasses import dataclass, field

from sassafraspin.control import ControlState, IsolatePart, ReadmitPart
from sassafraspin.isolation import (
    CrashEvidence,
    CrashReport,
    IsolatedPart,
    IsolationStore,
)

SEEDS = 200
SERVERS = 9
ZONES = 3
SHARED_PARTS = 40
FIRST_EVENT_SECONDS = 0.1
ANSWER_SECONDS = 0.7
REPORTED_SECONDS = 0.5
RESTART_SECONDS = 3.0
CHECK_SECONDS = 0.25
REPORT_SECONDS = 0.5
IN_FORCE_SECONDS = 3.0
ALLOWED_REQUESTS = 3


@dataclass(frozen=True)
class Day:
    """Load of a model run; rates are per second.

    Parameters
    ----------
    harmful : tuple of str
        Parts that end each server that begins to answer them.
    sound_rate, harmful_rate : float
        Arrivals of sound requests, and of requests with each harmful part.
    session_share : float
        Share of the sound requests with a part that few others have.
    other_end_rate, zone_end_rate : float
        Ends of single servers and of all servers of a zone for other causes.
    report_loss : float
        Share of the reports that are lost on their way.
    leader_change_rate : float
        Changes of the leader, which holds the evidence.
    """

    harmful: tuple[str, ...] = ("bad0",)
    sound_rate: float = 15.0
    harmful_rate: float = 0.7
    session_share: float = 0.2
    other_end_rate: float = 0.05
    zone_end_rate: float = 0.05
    report_loss: float = 0.01
    leader_change_rate: float = 0.0
    seconds: float = 60.0


@dataclass
class _Request:
    parts: tuple[str, ...]
    sent_at: float


@dataclass
class _Server:
    name: str
    zone: int
    back_at: float = 0.0
    running: list[_Request] = field(default_factory=list)


class EndModel:
    """Servers, their requests and the reports about both, in simulated time."""

    def __init__(self, seed: int, day: Day) -> None:
        self._generator = random.Random(seed)
        self._day = day
        self._names = itertools.count()
        self._events: list = []
        self._order = itertools.count()
        self._evidence = CrashEvidence()
        self._last_report = CrashReport()
        self._reported_at = 0.0
        self._servers = [
            _Server(f"s{next(self._names)}", number % ZONES)
            for number in range(SERVERS)
        ]
        self.found: list[str] = []
        self.ends: dict[str, list[float]] = {part: [] for part in day.harmful}
        self.late_requests = dict.fromkeys(day.harmful, 0)

    def run(self) -> None:
        """Play the day."""
        day = self._day
        self._schedule_arrivals(day.sound_rate, self._arrive_sound)
        for part in day.harmful:
            self._schedule_arrivals(
                day.harmful_rate, lambda now, part=part: self._arrive_harmful(part, now)
            )
        self._schedule_arrivals(day.other_end_rate, self._end_one)
        self._schedule_arrivals(day.zone_end_rate, self._end_zone)
        self._schedule_arrivals(day.leader_change_rate, self._change_leader)
        for number in range(int(day.seconds / REPORT_SECONDS)):
            self._schedule(number * REPORT_SECONDS, self._hand_over)
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)

    def _hand_over(self, now: float) -> None:
        self._last_report = self._evidence.report(now)
        self._reported_at = now

    def _change_leader(self, now: float) -> None:
        self._evidence = CrashEvidence()
        self._evidence.adopt(self._last_report, self._reported_at)

    def _schedule(self, at: float, action) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _schedule_arrivals(self, rate: float, action) -> None:
        at = 0.0
        while rate and (at := at + self._generator.expovariate(rate)) < (
            self._day.seconds
        ):
            self._schedule(at, action)

    def _arrive_sound(self, now: float) -> None:
        rank = int(SHARED_PARTS * self._generator.random() ** 1.5)
        parts = (f"p{rank}",)
        if self._generator.random() < self._day.session_share:
            parts += (f"session{self._generator.randrange(300)}",)
        self._send(parts, now)

    def _arrive_harmful(self, part: str, now: float) -> None:
        rank = int(SHARED_PARTS * self._generator.random() ** 1.5)
        self._send((f"p{rank}", part), now)

    def _send(self, parts: tuple[str, ...], now: float) -> None:
        if any(part in self.found for part in parts):
            return
        usable = [server for server in self._servers if server.back_at <= now]
        if not usable:
            return
        server = self._generator.choice(usable)
        self._count_late(parts, now)
        request = _Request(parts, now)
        server.running.append(request)
        begins_at = now + FIRST_EVENT_SECONDS
        self._schedule(begins_at, lambda at: self._begin(server, request, at))

    def _count_late(self, parts: tuple[str, ...], now: float) -> None:
        for part in parts:
            ends = self.ends.get(part, [])
            if len(ends) >= 5 and now > ends[4] + IN_FORCE_SECONDS:
                self.late_requests[part] += 1

    def _begin(self, server: _Server, request: _Request, now: float) -> None:
        if request not in server.running:
            return
        cause = [part for part in request.parts if part in self.ends]
        if cause:
            self.ends[cause[0]].append(now)
            self._end(server, now)
            return
        ends_at = now + ANSWER_SECONDS * self._generator.random()
        self._schedule(ends_at, lambda at: self._answer(server, request, at))

    def _answer(self, server: _Server, request: _Request, now: float) -> None:
        if request in server.running:
            server.running.remove(request)
            if not self._is_lost():
                self._evidence.record_answer(request.parts, now)

    def _end_one(self, now: float) -> None:
        self._end(self._generator.choice(self._servers), now)

    def _end_zone(self, now: float) -> None:
        zone = self._generator.randrange(ZONES)
        for server in self._servers:
            if server.zone == zone:
                self._end(server, now + 0.01 * self._generator.random())

    def _end(self, server: _Server, now: float) -> None:
        for request in server.running:
            begun_at = request.sent_at + FIRST_EVENT_SECONDS
            is_explained = any(part in self.found for part in request.parts)
            if now - begun_at < REPORTED_SECONDS and not is_explained:
                self._report(server, request, now)
        server.running.clear()
        server.name = f"s{next(self._names)}"
        server.back_at = now + RESTART_SECONDS

    def _report(self, server: _Server, request: _Request, now: float) -> None:
        if self._is_lost():
            return
        self._evidence.record_crash(server.name, request.parts, now)
        self._schedule(now + CHECK_SECONDS, self._check)
        self._schedule(now + 2 * CHECK_SECONDS, self._check)

    def _check(self, now: float) -> None:
        while (verdict := self._evidence.find_harmful(now)) is not None:
            self.found.append(verdict.part)

    def _is_lost(self) -> bool:
        return self._generator.random() < self._day.report_loss


class TestAttribution(unittest.TestCase):
    """Harmful parts are found soon after their fifth end, and no other part is."""

    def check_days(self, day: Day) -> None:
        wrong, missed = [], []
        for seed in range(SEEDS):
            model = EndModel(seed, day)
            model.run()
            wrong += [(seed, part) for part in model.found if part not in day.harmful]
            missed += [
                (seed, part, requests)
                for part, requests in model.late_requests.items()
                if requests > ALLOWED_REQUESTS
            ]
        self.assertEqual((wrong, missed), ([], []))

    def test_one_part(self):
        self.check_days(Day())

    def test_two_parts_at_once(self):
        self.check_days(Day(harmful=("bad0", "bad1")))

    def test_few_sound_requests(self):
        self.check_days(Day(sound_rate=2.0))

    def test_many_harmful_requests(self):
        self.check_days(Day(harmful_rate=3.0))

    def test_leader_changes_do_not_lose_the_evidence(self):
        self.check_days(Day(leader_change_rate=0.25))

    def test_ends_for_other_reasons_alone(self):
        self.check_days(Day(harmful=(), other_end_rate=0.3, zone_end_rate=0.1))


class TestEvidence(unittest.TestCase):
    """Single rules of the attribution."""

    def setUp(self):
        self.evidence = CrashEvidence()

    def end_servers(self, count: int, parts: tuple[str, ...], start: float = 0.0):
        """Report ends one second apart; return the last verdict."""
        for number in range(count):
            at = start + number
            self.evidence.record_crash(f"s{at}", parts, at)
            verdict = self.evidence.find_harmful(at + CHECK_SECONDS)
        return verdict

    def test_part_that_was_never_answered_is_found_before_one_that_was(self):
        self.evidence.record_answer(("first",), 0.0)
        verdict = self.end_servers(4, ("first", "bad"), 1.0)
        self.assertEqual(verdict.part, "bad")
        self.assertEqual(verdict.servers, ("s1.0", "s2.0", "s3.0", "s4.0"))

    def test_found_part_explains_the_ends_of_the_other_parts(self):
        self.end_servers(4, ("first", "bad"))
        self.assertIsNone(self.end_servers(3, ("first",), 10.0))

    def test_answer_clears_earlier_ends(self):
        self.end_servers(2, ("part",))
        self.evidence.record_answer(("part",), 5.0)
        self.assertIsNone(self.end_servers(4, ("part",), 6.0))
        self.assertEqual(self.end_servers(1, ("part",), 10.0).part, "part")

    def test_servers_that_end_at_one_moment_count_twice_at_most(self):
        for number in range(9):
            self.evidence.record_crash(f"s{number}", ("part",), number / 100)
        self.assertIsNone(self.evidence.find_harmful(1.0))
        self.assertIsNone(self.end_servers(1, ("part",), 2.0))
        self.assertEqual(self.end_servers(1, ("part",), 3.0).part, "part")

    def test_several_requests_at_one_server_count_once(self):
        for _ in range(9):
            self.evidence.record_crash("s0", ("part",), 0.0)
        self.assertIsNone(self.evidence.find_harmful(1.0))

    def test_evidence_is_bounded(self):
        for number in range(20_000):
            self.evidence.record_crash(f"s{number}", (f"part{number}",), number / 100)
            self.evidence.record_answer((f"answered{number}",), number / 100)
        self.assertLessEqual(len(self.evidence._crashes), 256)
        self.assertLessEqual(len(self.evidence._answered_at), 10_000)


class TestIsolatedParts(unittest.TestCase):
    """Isolations are part of the replicated state."""

    def test_isolation_is_kept_in_a_snapshot(self):
        state = ControlState()
        state.apply(1, IsolatePart("c1", 7, "bad", ("s1", "s2")))
        restored = ControlState.from_bytes(1, state.to_bytes())
        expected = (IsolatedPart("bad", ("s1", "s2"), 7),)
        self.assertEqual(restored.isolation.all_parts(), expected)
        self.assertEqual(restored.isolation.find(("first", "bad")), "bad")

    def test_readmitted_part_may_be_isolated_again(self):
        state = ControlState()
        state.apply(1, IsolatePart("c1", 7, "bad", ()))
        state.apply(2, ReadmitPart("c2", "operator", 8, "bad"))
        self.assertIsNone(state.isolation.find(("bad",)))
        state.apply(3, IsolatePart("c3", 9, "bad", ()))
        self.assertEqual(state.isolation.find(("bad",)), "bad")

    def test_isolations_are_bounded(self):
        store = IsolationStore()
        for number in range(3_000):
            store.isolate(IsolatedPart(f"part{number}", (), number))
        self.assertEqual(len(store.all_parts()), 1_000)
        self.assertEqual(store.find(("part2999",)), "part2999")
