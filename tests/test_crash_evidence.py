"""Attribution of server ends to prompt parts, against a model that knows the cause."""

import heapq
import itertools
import random
import unittest
from dataclasses import dataclass, field, replace

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
CHECK_DELAYS = (0.25, 0.5, 1.0)
REPEAT_SECONDS = 1.0
INSTANCES = 3
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
    proxied : int
        Number of servers behind proxies: they keep their names, and requests to them
        are accepted and broken off until they are back.
    restart_seconds : float
        Time until a server is back.
    broken_share : float
        Share of the answers that any server breaks off and goes on.
    faulty_share : float
        Share of the answers that the first server breaks off.
    cut_rate : float
        Resets of all connections of one entry instance.
    sessions : int
        Number of sessions.
    repeats : int
        How often a sound request that was broken off comes again at most.
    """

    harmful: tuple[str, ...] = ("bad0",)
    sound_rate: float = 15.0
    harmful_rate: float = 0.7
    session_share: float = 0.2
    other_end_rate: float = 0.05
    zone_end_rate: float = 0.05
    report_loss: float = 0.01
    leader_change_rate: float = 0.0
    proxied: int = 0
    restart_seconds: float = RESTART_SECONDS
    broken_share: float = 0.0
    faulty_share: float = 0.0
    cut_rate: float = 0.0
    sessions: int = 300
    repeats: int = 0
    seconds: float = 60.0


@dataclass
class _Request:
    parts: tuple[str, ...]
    sent_at: float
    instance: int
    repeats: int


@dataclass
class _Server:
    name: str
    zone: int
    is_proxied: bool
    broken_share: float
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
            _Server(
                f"s{next(self._names)}",
                number % ZONES,
                number < day.proxied,
                max(day.broken_share, 0.0 if number else day.faulty_share),
            )
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
        self._schedule_arrivals(day.cut_rate, self._cut_instance)
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
            parts += (f"session{self._generator.randrange(self._day.sessions)}",)
        self._send(parts, now)

    def _arrive_harmful(self, part: str, now: float) -> None:
        rank = int(SHARED_PARTS * self._generator.random() ** 1.5)
        self._send((f"p{rank}", part), now)

    def _send(self, parts: tuple[str, ...], now: float, repeats: int = 0) -> None:
        if any(part in self.found for part in parts):
            return
        usable = [
            server
            for server in self._servers
            if server.back_at <= now or server.is_proxied
        ]
        if not usable:
            return
        server = self._generator.choice(usable)
        instance = self._generator.randrange(INSTANCES)
        request = _Request(parts, now, instance, repeats)
        if server.back_at > now:
            self._lose(server, request, now)
            return
        self._count_late(parts, now)
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
        is_broken = self._generator.random() < server.broken_share
        action = self._break_off if is_broken else self._answer
        self._schedule(ends_at, lambda at: action(server, request, at))

    def _answer(self, server: _Server, request: _Request, now: float) -> None:
        if request in server.running:
            server.running.remove(request)
            if not self._is_lost():
                self._evidence.record_answer(request.parts, now)
                self._evidence.record_running(server.name, request.sent_at, now)

    def _break_off(self, server: _Server, request: _Request, now: float) -> None:
        if request in server.running:
            server.running.remove(request)
            self._lose(server, request, now)

    def _cut_instance(self, now: float) -> None:
        instance = self._generator.randrange(INSTANCES)
        for server in self._servers:
            for request in list(server.running):
                if request.instance == instance:
                    self._break_off(server, request, now)

    def _end_one(self, now: float) -> None:
        self._end(self._generator.choice(self._servers), now)

    def _end_zone(self, now: float) -> None:
        zone = self._generator.randrange(ZONES)
        for server in self._servers:
            if server.zone == zone:
                self._end(server, now + 0.01 * self._generator.random())

    def _end(self, server: _Server, now: float) -> None:
        running = list(server.running)
        server.running.clear()
        for request in running:
            self._lose(server, request, now, is_refused=not server.is_proxied)
        if not server.is_proxied:
            server.name = f"s{next(self._names)}"
        server.back_at = now + self._day.restart_seconds

    def _lose(
        self, server: _Server, request: _Request, now: float, is_refused: bool = False
    ) -> None:
        self._report(server, request, now, is_refused)
        is_sound = not any(part in self.ends for part in request.parts)
        if is_sound and request.repeats < self._day.repeats:
            again_at = now + REPEAT_SECONDS * self._generator.random()
            repeats = request.repeats + 1
            self._schedule(again_at, lambda at: self._send(request.parts, at, repeats))

    def _report(
        self, server: _Server, request: _Request, now: float, is_refused: bool
    ) -> None:
        if self._is_lost() or any(part in self.found for part in request.parts):
            return
        has_just_begun = now - request.sent_at < FIRST_EVENT_SECONDS + REPORTED_SECONDS
        if is_refused and has_just_begun:
            self._evidence.record_crash(server.name, request.parts, now)
        elif has_just_begun:
            self._evidence.record_loss(server.name, request.parts, now)
        for delay in CHECK_DELAYS:
            self._schedule(now + delay, self._check)

    def _check(self, now: float) -> None:
        while (verdict := self._evidence.find_harmful(now)) is not None:
            self.found.append(verdict.signature)

    def _is_lost(self) -> bool:
        return self._generator.random() < self._day.report_loss


class TestAttribution(unittest.TestCase):
    """Harmful parts are found soon after their fifth end, and no other part is."""

    seeds = SEEDS

    def check_days(self, day: Day) -> None:
        wrong, missed = [], []
        for seed in range(self.seeds):
            model = EndModel(seed, day)
            model.run()
            wrong += [(seed, part) for part in model.found if part not in day.harmful]
            missed += [
                (seed, part, requests)
                for part, requests in model.late_requests.items()
                if requests > ALLOWED_REQUESTS
            ]
        self.assertEqual(wrong, [])
        self.assertEqual(missed, [])

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


class TestAttributionWithoutRefusal(TestAttribution):
    """The same with servers whose address accepts connections after their end.

    It takes more ends to tell a harmful part while many requests are lost otherwise.
    """

    seeds = 40

    def check_days(self, day: Day) -> None:
        super().check_days(replace(day, proxied=SERVERS))

    def test_servers_that_are_back_at_once(self):
        self.check_days(Day(restart_seconds=0.0))

    def test_some_servers_refuse_connections(self):
        super().check_days(Day(proxied=4))

    def test_servers_that_also_break_off_answers(self):
        self.check_days(Day(broken_share=0.1, sessions=20, repeats=3))

    def test_two_parts_while_some_servers_refuse_connections(self):
        super().check_days(Day(proxied=4, harmful=("bad0", "bad1")))


class TestOtherLosses(TestAttribution):
    """Answers that are broken off while their server goes on are no evidence."""

    seeds = 40

    def check_days(self, day: Day) -> None:
        super().check_days(replace(day, broken_share=0.1, sessions=20, repeats=3))

    def test_servers_that_often_break_off_answers(self):
        super().check_days(Day(harmful=(), broken_share=0.4, sessions=20, repeats=5))

    def test_one_server_that_breaks_off_most_answers(self):
        self.check_days(Day(harmful=(), faulty_share=0.9))

    def test_one_server_that_breaks_off_most_answers_of_few_requests(self):
        self.check_days(Day(harmful=(), faulty_share=0.9, sound_rate=2.0))

    def test_instances_that_lose_their_connections(self):
        self.check_days(Day(harmful=(), cut_rate=0.5))


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
        self.assertEqual(verdict.signature, "bad")
        self.assertEqual(verdict.servers, ("s1.0", "s2.0", "s3.0", "s4.0"))

    def test_found_part_explains_the_ends_of_the_other_parts(self):
        self.end_servers(4, ("first", "bad"))
        self.assertIsNone(self.end_servers(3, ("first",), 10.0))

    def test_answer_clears_earlier_ends(self):
        self.end_servers(2, ("part",))
        self.evidence.record_answer(("part",), 5.0)
        self.assertIsNone(self.end_servers(4, ("part",), 6.0))
        self.assertEqual(self.end_servers(1, ("part",), 10.0).signature, "part")

    def test_servers_that_end_at_one_moment_count_twice_at_most(self):
        for number in range(9):
            self.evidence.record_crash(f"s{number}", ("part",), number / 100)
        self.assertIsNone(self.evidence.find_harmful(1.0))
        self.assertIsNone(self.end_servers(1, ("part",), 2.0))
        self.assertEqual(self.end_servers(1, ("part",), 3.0).signature, "part")

    def test_several_requests_at_one_server_count_once(self):
        for _ in range(9):
            self.evidence.record_crash("s0", ("part",), 0.0)
        self.assertIsNone(self.evidence.find_harmful(1.0))

    def test_evidence_is_bounded(self):
        for number in range(20_000):
            now = number / 100
            self.evidence.record_crash(f"s{number}", (f"part{number}",), now)
            self.evidence.record_loss(f"t{number}", (f"part{number}",), now)
            self.evidence.record_answer((f"answered{number}",), now)
            self.evidence.record_running(f"u{number}", now, now)
        self.assertLessEqual(len(self.evidence._crashes), 256)
        self.assertLessEqual(len(self.evidence._last_crashes), 256)
        self.assertLessEqual(len(self.evidence._answered_at), 10_000)
        self.assertLessEqual(len(self.evidence._noise._by_server), 1_024)


class TestEvidenceWithoutRefusal(unittest.TestCase):
    """Single rules for servers that accept connections after they broke off answers."""

    def setUp(self):
        self.evidence = CrashEvidence()
        self.now = 0.0

    def answer(self, count: int = 100, server: str = "s0") -> None:
        """Let a server answer requests with a sound part."""
        for _ in range(count):
            self.evidence.record_answer(("sound",), self.now)
            self.evidence.record_running(server, self.now, self.now)

    def lose(self, server: str, *parts: str):
        """Report a broken-off request; return the verdict a second later."""
        self.evidence.record_loss(server, parts, self.now)
        self.now += 1.0
        return self.evidence.find_harmful(self.now)

    def test_part_whose_requests_alone_are_broken_off_is_found(self):
        self.answer()
        verdicts = [self.lose(f"s{number}", "bad") for number in range(4)]
        self.assertEqual(verdicts[:3], [None] * 3)
        self.assertEqual(verdicts[3].signature, "bad")

    def test_nothing_is_found_before_answers_show_that_others_are_served(self):
        verdicts = [self.lose(f"s{number}", "bad") for number in range(9)]
        self.assertEqual(verdicts, [None] * 9)

    def test_part_is_not_found_while_many_others_are_broken_off(self):
        self.answer()
        for number in range(4):
            for other in range(10):
                self.lose(f"t{number}-{other}", f"other{other}")
            self.assertIsNone(self.lose(f"s{number}", "part"))

    def test_server_that_goes_on_with_earlier_requests_has_not_crashed(self):
        self.answer()
        for number in range(6):
            sent_at = self.now - 2.0
            self.assertIsNone(self.lose(f"s{number}", "part"))
            self.evidence.record_running(f"s{number}", sent_at, self.now)

    def test_server_that_keeps_its_name_crashes_again_after_an_answer(self):
        self.answer()
        for _ in range(3):
            self.assertIsNone(self.lose("s0", "bad"))
            self.answer(1)
        self.assertEqual(self.lose("s0", "bad").signature, "bad")

    def test_server_that_is_down_does_not_crash_again(self):
        self.answer()
        self.evidence.record_loss("s0", ("first",), self.now)
        for _ in range(4):
            self.now += 0.9
            self.assertIsNone(self.evidence.find_harmful(self.now))
            self.evidence.record_loss("s0", ("part",), self.now)
        [crash] = self.evidence.report(self.now).crashes
        self.assertEqual(crash.requests, (("first",),))

    def test_part_is_not_found_at_one_server_that_breaks_off_most_answers(self):
        self.answer(1_000, "sound")
        for number in range(30):
            self.lose("faulty", f"other{number}")
            self.answer(1, "faulty")
        for _ in range(4):
            self.assertIsNone(self.lose("faulty", "part"))
            self.answer(1, "faulty")

    def test_next_leader_knows_how_many_requests_are_broken_off(self):
        self.answer()
        for number in range(3):
            self.lose(f"s{number}", "bad")
        successor = CrashEvidence()
        successor.adopt(self.evidence.report(self.now), self.now)
        self.evidence = successor
        self.assertEqual(self.lose("s3", "bad").signature, "bad")


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
