"""Placement of requests by the parts of their prompts that servers hold."""

import json
import random
import unittest
from dataclasses import replace

import msgspec

from sassafraspin.admission import AccountLimits
from sassafraspin.backends import (
    HeldParts,
    PromptPart,
    SpeedEstimate,
    TypicalOverhead,
)
from sassafraspin.dispatch import (
    ActiveGrant,
    ReleaseResult,
    SlotGrant,
    SlotRelease,
    SlotRequest,
)
from sassafraspin.dispatch.part_index import PartIndex
from sassafraspin.dispatch.pool import Pool
from sassafraspin.dispatch.versions import VersionGate
from sassafraspin.http import Headers, Request
from sassafraspin.platform.boot import decode_boot_settings
from sassafraspin.platform.document import decode_table
from sassafraspin.routed.adapter import CallMetadata
from sassafraspin.routed.call import match_call
from sassafraspin.routed.leader_scope import _service_settings
from sassafraspin.routes import RouteIndex
from sassafraspin.settings import DispatchSettings
from tests.pool_model import SERVICE, announcement
from tests.prefix_model import PrefixReport, PrefixShape, play_prefixes
from tests.routed_deployment import configuration
from tests.test_platform import BOOT

PROMPT = (
    PromptPart("common", 2_500),
    PromptPart("session", 3_800),
    PromptPart("own", 700),
)
CACHE_TOKENS = 50_000


def parts_of(session: str, own: str) -> tuple[tuple[str, int], ...]:
    """Return the parts of a prompt of 7,000 tokens."""
    return (("common", 2_500), (session, 3_800), (own, 700))


class TestRequestsWithParts(unittest.TestCase):
    """What a call tells the dispatcher of its prompt and its stream."""

    def slot_request(self, path: str, **route) -> SlotRequest:
        """Return the slot request of a call to a route with these fields."""
        document = configuration()
        for item in document["routes"]:
            item.update(route)
        index = RouteIndex(decode_table(json.dumps(document).encode()))
        request = Request("GET", path, Headers(()), b"")
        metadata = CallMetadata(
            "id", "mill.example", "key", None, 7_000, 50, None, None, PROMPT
        )
        call = match_call(request, metadata, index, random.Random(1))
        return call.slot_request(0, 0, (), 0, False)

    def test_parts_are_named_where_the_route_has_session_affinity(self):
        request = self.slot_request("/stream/1", session_affinity=True)
        self.assertEqual(request.parts, parts_of("session", "own"))

    def test_parts_are_not_named_elsewhere(self):
        self.assertEqual(self.slot_request("/stream/1").parts, ())

    def test_streams_name_their_pause_objective(self):
        request = self.slot_request("/stream/1", target_gap_ms=250)
        self.assertEqual(request.gap_ms, 250)
        self.assertEqual(self.slot_request("/safe/1", target_gap_ms=250).gap_ms, 0)

    def test_messages_of_older_builds_are_read(self):
        """Instances of two builds run side by side while they are replaced."""
        request = self.slot_request("/stream/1", session_affinity=True)
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(request))
        older = msgspec.msgpack.encode(
            fields[: fields.index([list(part) for part in request.parts])]
        )
        decoded = msgspec.msgpack.decode(older, type=SlotRequest)
        self.assertEqual(decoded, msgspec.structs.replace(request, parts=(), gap_ms=0))

    def test_reuse_window_is_read_from_the_settings(self):
        settings = decode_boot_settings(BOOT.encode(), "boot.toml")
        self.assertEqual(settings.dispatch.reuse_window_ms, 10_000)
        text = BOOT.replace("[bounds]", "[bounds]\nreuse_window_s = 5.7")
        settings = decode_boot_settings(text.encode(), "boot.toml")
        self.assertEqual(settings.dispatch.reuse_window_ms, 5_700)


class TestCacheSize(unittest.TestCase):
    """Registrations of the platform name no KV capacity; its services do."""

    def test_capacity_of_a_service_bounds_what_its_servers_hold(self):
        document = configuration()
        document["services"][0]["engine"] = {"kv_capacity_tokens": 240_000}
        table = decode_table(json.dumps(document).encode())
        [service] = map(_service_settings, table.services)
        self.assertEqual(service.cache_tokens, 240_000)

    def test_service_without_an_engine_has_none(self):
        table = decode_table(json.dumps(configuration()).encode())
        [service] = map(_service_settings, table.services)
        self.assertEqual(service.cache_tokens, 0)


class TestHeldParts(unittest.TestCase):
    """Estimated content of one server's prefix cache."""

    def setUp(self):
        self.held = HeldParts()

    def send(self, grant_id: str, now: float, capacity: int = CACHE_TOKENS) -> None:
        parts = parts_of(f"s-{grant_id}", grant_id)
        self.held.record_sent(parts, grant_id, now, capacity, 10.0)

    def test_only_the_leading_run_counts(self):
        """A part is of no use if a part before it has to be prefilled."""
        self.send("a", 0.0)
        self.assertEqual(self.held.leading_tokens(parts_of("s-a", "new")), 6_300)
        self.assertEqual(self.held.leading_tokens(parts_of("new", "a")), 2_500)
        self.assertEqual(self.held.leading_tokens((("new", 1), ("common", 2))), 0)

    def test_least_recently_used_parts_are_evicted_and_first_parts_last(self):
        self.send("a", 0.0, 12_000)
        self.send("b", 1.0, 12_000)
        self.send("c", 2.0, 12_000)
        self.assertNotIn("s-a", self.held)
        self.assertIn("common", self.held)
        self.assertEqual(self.held.leading_tokens(parts_of("s-c", "c")), 7_000)
        self.assertLessEqual(self.held.tokens, 12_000)

    def test_parts_are_kept_for_the_window_if_the_capacity_is_not_known(self):
        self.send("a", 0.0, 0)
        self.send("b", 9.0, 0)
        self.assertIn("s-a", self.held)
        self.send("c", 11.0, 0)
        self.assertNotIn("s-a", self.held)
        self.assertIn("s-b", self.held)

    def test_parts_of_a_grant_that_came_to_nothing_are_forgotten(self):
        self.send("a", 0.0)
        self.send("b", 1.0)
        self.held.forget_grant("b", parts_of("s-b", "b"))
        self.assertEqual(self.held.leading_tokens(parts_of("s-b", "b")), 2_500)
        self.assertEqual(self.held.tokens, 7_000)

    def test_memory_is_bounded(self):
        """Small parts would otherwise fill a large cache by their number."""
        for number in range(3_000):
            parts = ((f"p-{number}", 1),)
            self.held.record_sent(parts, str(number), 0.0, 300_000, 10.0)
        self.assertLessEqual(len(self.held), 512)


class TestPartIndex(unittest.TestCase):
    """Servers by the parts that they were sent."""

    def test_holders_of_the_last_parts_come_first(self):
        index = PartIndex(10.0)
        index.record_sent(parts_of("s1", "o1"), "a", 0.0)
        index.record_sent(parts_of("s2", "o2"), "b", 0.0)
        index.record_sent(parts_of("s1", "o3"), "c", 0.0)
        names = list(index.holders(parts_of("s1", "o4")))
        self.assertEqual(names[:2], ["c", "a"])
        self.assertIn("b", names)

    def test_reused_parts_are_those_within_the_window(self):
        index = PartIndex(10.0)
        index.record_sent(parts_of("s1", "o1"), "a", 0.0)
        index.record_sent(parts_of("s2", "o2"), "a", 9.0)
        self.assertEqual(index.reused_tokens(parts_of("s1", "o3"), 9.5), 6_300)
        self.assertEqual(index.reused_tokens(parts_of("s1", "o3"), 11.0), 2_500)

    def test_memory_is_bounded(self):
        index = PartIndex(10.0)
        for number in range(50_000):
            index.record_sent(((f"p{number}", 1),), "a", 0.0)
        self.assertLessEqual(len(index), 20_000)


class PlacementTestCase(unittest.TestCase):
    """A pool of servers of equal speed that are sent prompts of 7,000 tokens."""

    def setUp(self):
        self.open_pool(4)

    def open_pool(self, servers: int, **fields) -> None:
        """Open a pool with servers of four slots."""
        known = tuple(
            announcement(
                number,
                **{
                    "slots": 4,
                    "prefill_tokens_per_second": 60_000.0,
                    "decode_tokens_per_second": 100.0,
                    **fields,
                },
            )
            for number in range(servers)
        )
        self.known = known
        self.pool = Pool(
            SERVICE,
            DispatchSettings(),
            AccountLimits(()),
            VersionGate("v1", random.Random(1)),
            random.Random(1),
            "t",
            0.0,
            known,
        )
        self.pool.set_cache_tokens(250_000)

    def request(self, identity: str, session: str, **fields) -> SlotRequest:
        """Return a request of a session whose first token is due within 600 ms."""
        parts = parts_of(session, identity)
        return SlotRequest(
            **{
                "request_id": f"{SERVICE}:{identity}",
                "service": SERVICE,
                "client_account": "a",
                "profile": "p",
                "route": "/r",
                "tier": 0,
                "prompt_tokens": 7_000,
                "answer_tokens": 100,
                "deadline_ms": 10_000,
                "cancellable": False,
                "start_within_ms": 450,
                "first_token_within_ms": 600,
                "parts": parts,
                **fields,
            }
        )

    def ask(self, identity: str, session: str, now: float, **fields) -> SlotGrant:
        """Request a slot and return the grant."""
        request = self.request(identity, session, **fields)
        answer = self.pool.request("e", request, now)[-1].message
        self.assertIsInstance(answer, SlotGrant)
        return answer

    def end(
        self,
        grant: SlotGrant,
        now: float,
        result: ReleaseResult = ReleaseResult.ANSWERED,
        first_ms: int = 130,
    ) -> None:
        """Release a slot."""
        answer_tokens = 100 if result is ReleaseResult.ANSWERED else 0
        release = SlotRelease(
            SERVICE,
            grant.request_id,
            grant.grant_id,
            grant.backend_id,
            result,
            first_ms,
            first_ms + 1_000,
            answer_tokens,
        )
        self.pool.release(release, now)

    def serve(self, identity: str, session: str, now: float) -> SlotGrant:
        """Request a slot, and release it after the answer."""
        grant = self.ask(identity, session, now)
        self.end(grant, now + 1.2)
        return grant


class TestPlacementByParts(PlacementTestCase):
    """Servers that hold parts are preferred as long as this pays."""

    def test_session_stays_on_the_server_that_holds_it(self):
        used = {}
        for turn in range(6):
            for session in ("s1", "s2", "s3"):
                now = 1.0 + 2 * turn + int(session[1]) / 2
                grant = self.serve(f"{session}-{turn}", session, now)
                used.setdefault(session, set()).add(grant.backend_id)
        self.assertEqual([len(names) for names in used.values()], [1, 1, 1])

    def test_expected_time_counts_only_what_must_be_prefilled(self):
        first = self.serve("a", "s1", 1.0)
        second = self.ask("b", "s1", 3.0)
        self.assertGreater(first.expected_first_ms, 110)
        self.assertLess(second.expected_first_ms, 60)

    def test_session_leaves_a_server_whose_queue_costs_more_than_the_hit_saves(self):
        first = self.serve("a", "s1", 1.0)
        others = tuple(item.id for item in self.known if item.id != first.backend_id)
        self.ask("long", "s2", 3.0, prompt_tokens=30_000, parts=(), avoid=others)
        grant = self.ask("b", "s1", 3.0)
        self.assertNotEqual(grant.backend_id, first.backend_id)

    def test_hot_part_uses_as_many_servers_as_its_load_needs(self):
        """One session has more requests at once than a server has slots."""
        grants = [self.ask(f"r{n}", "s1", 1.0 + n / 20) for n in range(10)]
        used = {grant.backend_id for grant in grants}
        self.assertGreaterEqual(len(used), 3)

    def test_parts_of_a_failed_request_are_forgotten(self):
        for result in (ReleaseResult.FAILED, ReleaseResult.NOT_SENT):
            with self.subTest(result=result):
                self.open_pool(4)
                grant = self.ask("a", "s1", 1.0)
                self.end(grant, 1.1, result)
                backend = self.pool.server(grant.backend_id)
                self.assertEqual(len(backend.parts), 0)

    def test_parts_of_a_grant_that_is_not_used_are_forgotten(self):
        grant = self.ask("a", "s1", 1.0)
        self.end(grant, 1.1, ReleaseResult.CANCELLED)
        self.assertEqual(len(self.pool.server(grant.backend_id).parts), 0)

    def test_parts_are_forgotten_when_the_server_restarts(self):
        grant = self.serve("a", "s1", 1.0)
        [known] = [item for item in self.known if item.id == grant.backend_id]
        self.pool.announce(replace(known, incarnation=2), 3.0)
        self.assertEqual(len(self.pool.server(grant.backend_id).parts), 0)

    def test_new_dispatcher_learns_parts_from_grants_that_it_takes_over(self):
        grant = self.ask("a", "s1", 1.0)
        request = self.request("a", "s1")
        self.open_pool(4)
        self.pool.adopt("e", ActiveGrant(request, grant), 2.0)
        self.assertEqual(self.ask("b", "s1", 2.1).backend_id, grant.backend_id)

    def test_running_requests_take_space_from_the_cache(self):
        """The cache shares the KV memory with the requests that run."""
        self.open_pool(1, slots=8)
        self.pool.set_cache_tokens(40_000)
        for number in range(4):
            self.ask(f"r{number}", f"s{number}", 1.0)
        [backend] = self.pool.backends
        self.assertLessEqual(backend.parts.tokens, 40_000 - 4 * 7_100)

    def test_status_counts_what_is_prefilled_again(self):
        first = self.serve("a", "s1", 1.0)
        self.assertEqual(self.pool.status(2.5).again_tokens, 0)
        self.ask("b", "s1", 3.0, avoid=(first.backend_id,))
        status = self.pool.status(3.1)
        self.assertEqual(status.again_tokens, 6_300)
        self.assertEqual(status.uncached_tokens, 14_000)

    def test_holder_is_found_among_many_servers(self):
        """Beyond 16 servers only a sample of them is compared."""
        self.open_pool(300)
        homes = {}
        for turn in range(3):
            for number in range(40):
                session = f"s{number}"
                now = 1.0 + 10 * turn + number / 8
                grant = self.serve(f"{session}-{turn}", session, now)
                homes.setdefault(session, set()).add(grant.backend_id)
        self.assertEqual({len(names) for names in homes.values()}, {1})

    def test_hits_do_not_make_a_server_look_faster(self):
        """Time to first token of a server of 60,000 tokens a second."""
        grant = self.serve("a", "s1", 1.0)
        backend = self.pool.server(grant.backend_id)
        before = backend.speed.prefill_rate
        for turn in range(20):
            now = 3.0 + 2 * turn
            grant = self.ask(f"b{turn}", "s1", now)
            self.assertIs(self.pool.server(grant.backend_id), backend)
            self.end(grant, now + 1.2, first_ms=22)
        self.assertLess(backend.speed.prefill_rate, 1.2 * before)
        self.assertGreater(backend.speed.prefill_rate, before / 1.2)


class TestOverhead(unittest.TestCase):
    """Part of the time to first token that does not depend on the prompt."""

    def observe(self, speed: SpeedEstimate, tokens: int, measured: float) -> None:
        expected = speed.first_token_seconds(tokens)
        rate, overhead = speed.prefill_rate, speed.overhead
        speed.observe_first_token(tokens, expected, measured, rate, overhead)

    def measured(self, tokens: int) -> float:
        """Return the time at 30,000 tokens a second and an overhead of 75 ms."""
        return SpeedEstimate(30_000.0, 100.0).first_token_seconds(tokens) + 0.075

    def test_rate_and_overhead_are_told_apart_by_prompts_of_several_lengths(self):
        """A rate alone is too low for long prompts and too high for short ones."""
        speed = SpeedEstimate(60_000.0, 100.0)
        generator = random.Random(1)
        for _ in range(150):
            tokens = generator.choice((570, 1_700, 8_300))
            self.observe(speed, tokens, self.measured(tokens))
        self.assertAlmostEqual(speed.overhead, 0.075, delta=0.01)
        self.assertAlmostEqual(speed.prefill_rate, 30_000, delta=2_000)

    def test_new_server_has_the_overhead_of_the_others(self):
        """A standby sends too few requests to each server to learn it from them."""
        typical = TypicalOverhead()
        speeds = [SpeedEstimate(30_000.0, 100.0, typical) for _ in range(20)]
        for speed in speeds * 3:
            self.observe(speed, 570, self.measured(570))
        new = SpeedEstimate(30_000.0, 100.0, typical)
        self.assertAlmostEqual(new.overhead, 0.075, delta=0.02)

    def test_complete_answers_tell_nothing_about_the_overhead(self):
        """The time of an answer that is not streamed is that of all its tokens."""
        speed = SpeedEstimate(30_000.0, 100.0)
        for _ in range(20):
            expected = speed.first_token_seconds(100)
            speed.observe_first_token(
                100, expected, 2.0, 30_000.0, speed.overhead, is_stream=False
            )
        self.assertEqual(speed.overhead, 0.0)


class TestPauses(PlacementTestCase):
    """A long prompt is placed where the running streams bear its chunks."""

    def place_long_prompt(self, gap_ms: int, **fields) -> tuple[str, str]:
        """Return the server of a stream with the objective, and that of the prompt."""
        self.open_pool(2)
        stream = self.ask("stream", "s1", 1.0, gap_ms=gap_ms, answer_tokens=800)
        [other] = [item.id for item in self.known if item.id != stream.backend_id]
        for number in range(2):
            self.ask(
                f"busy-{number}", "s2", 1.0, answer_tokens=800, gap_ms=2_000,
                avoid=(stream.backend_id,),
            )  # fmt: skip
        long = self.ask(
            "long", "s3", 3.0, prompt_tokens=18_000, parts=(),
            **{"first_token_within_ms": 900, **fields},
        )  # fmt: skip
        self.assertIn(long.backend_id, (stream.backend_id, other))
        return stream.backend_id, long.backend_id

    def test_long_prompt_avoids_a_stream_that_it_would_delay_too_long(self):
        stream, long = self.place_long_prompt(250)
        self.assertNotEqual(stream, long)

    def test_streams_that_bear_the_delay_are_no_reason(self):
        stream, long = self.place_long_prompt(2_000)
        self.assertEqual(stream, long)

    def test_objective_of_the_request_itself_comes_first(self):
        """Only the idle server of the stream can prefill the prompt in time."""
        self.open_pool(2)
        stream = self.ask("stream", "s1", 1.0, gap_ms=250, answer_tokens=800)
        self.ask(
            "ahead", "s2", 2.9, prompt_tokens=30_000, parts=(),
            avoid=(stream.backend_id,),
        )  # fmt: skip
        long = self.ask("long", "s3", 3.0, prompt_tokens=18_000, parts=())
        self.assertEqual(long.backend_id, stream.backend_id)


class TestSharedPartsUnderLoad(unittest.TestCase):
    """What callers get on uneven servers, with and without parts in their requests.

    Without parts, every server looks alike to a request, as before parts were sent.
    """

    def compare(self, **fields) -> tuple[PrefixReport, PrefixReport]:
        """Return the reports without and with parts."""
        shape = PrefixShape(**fields)
        before = replace(shape, names_parts=False, knows_gaps=False)
        return play_prefixes(before), play_prefixes(shape)

    def test_fewer_parts_are_prefilled_again(self):
        before, after = self.compare(requests_per_second=25.0)
        self.assertLess(after.again_share, 0.4 * before.again_share)
        self.assertGreaterEqual(after.on_time_share, before.on_time_share)

    def test_fewer_parts_are_prefilled_again_near_full_load(self):
        before, after = self.compare(requests_per_second=45.0)
        self.assertLess(after.again_share, 0.6 * before.again_share)
        self.assertGreaterEqual(after.on_time_share, before.on_time_share - 0.002)

    def test_peak_of_twice_the_load(self):
        """Few slots are free, often none of the servers that hold the parts."""
        before, after = self.compare(requests_per_second=40.0, peak=2.0)
        self.assertLess(after.again, 0.75 * before.again)
        self.assertGreaterEqual(after.on_time_share, before.on_time_share - 0.01)

    def test_hot_session_does_not_overload_one_server(self):
        before, after = self.compare(requests_per_second=30.0, hot_share=0.3)
        self.assertLess(after.again_share, 0.5 * before.again_share)
        self.assertGreaterEqual(after.on_time_share, before.on_time_share)

    def test_long_prompts_break_fewer_pauses(self):
        """Six loads on engines with long chunks, with and without pause objectives."""
        late_pauses = {}
        on_time = {}
        for knows_gaps in (False, True):
            reports = [
                play_prefixes(
                    PrefixShape(
                        requests_per_second=40.0,
                        prefill_rate=30_000.0,
                        chunk_tokens=4_096,
                        knows_gaps=knows_gaps,
                        seed=seed,
                    )
                )
                for seed in range(1, 7)
            ]
            late_pauses[knows_gaps] = sum(item.late_pause for item in reports)
            on_time[knows_gaps] = sum(item.on_time for item in reports)
        self.assertLess(late_pauses[True], 0.8 * late_pauses[False])
        self.assertGreaterEqual(on_time[True], on_time[False])

    def test_time_to_first_token_is_estimated_for_short_prompts_too(self):
        """Without the overhead, 570 tokens took 1.6 times as long as expected."""
        report = play_prefixes(PrefixShape(requests_per_second=30.0))
        for fewest, most in ((0, 1_100), (2_000, 8_000), (8_000, 30_000)):
            with self.subTest(fewest=fewest):
                ratio = report.ratio_at(0.5, fewest, most)
                self.assertTrue(0.8 <= ratio <= 1.25, ratio)
