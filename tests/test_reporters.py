"""Which entry instances are found to be cut off from the servers."""

import unittest

from sassafraspin.dispatch.reporters import Reporters, ServerVersion


def source(server: str, version: str = "v1", incarnation: int = 1) -> ServerVersion:
    """Return a version in one run of a server."""
    return ServerVersion(server, incarnation, version)


class TestReporters(unittest.TestCase):
    """Failures of one instance at servers that answer others."""

    def setUp(self):
        self.reporters = Reporters()
        for entry in ("a", "b", "c"):
            self.reporters.record_grant(entry)

    def fail(self, entry: str, *servers: str, at: float = 0.0, version="v1") -> None:
        for server in servers:
            self.reporters.record_failure(entry, source(server, version), at)

    def answer(self, entry: str, *servers: str, at: float, version="v1") -> list[str]:
        found = []
        for server in servers:
            server_version = source(server, version)
            found += self.reporters.record_answer(entry, server_version, at)
        return found

    def test_instance_that_fails_where_others_get_answers_is_cut_off(self):
        self.fail("a", "s1", "s2")
        self.assertEqual(self.answer("b", "s1", "s2", at=0.5), ["a"])
        self.assertTrue(self.reporters.is_cut_off("a"))
        self.assertFalse(self.reporters.record_failure("a", source("s3"), 0.6))

    def test_instance_that_fails_at_few_of_many_servers_keeps_its_slots(self):
        """Its answers may be long, and a few servers may be down, in an overload."""
        self.reporters.set_server_count(9)
        for server in ("s3", "s4", "s5"):
            self.reporters.record_silence("a", source(server), 0.0)
        self.fail("a", "s1", "s2")
        self.assertFalse(self.reporters.is_limited("a"))

    def test_instance_that_fails_at_a_third_of_the_servers_is_limited(self):
        self.reporters.set_server_count(9)
        self.fail("a", "s1", "s2", "s3")
        self.assertTrue(self.reporters.is_limited("a"))

    def test_failures_at_a_single_server_say_nothing_about_the_path(self):
        for second in range(5):
            self.fail("a", "s1", at=second)
            self.assertEqual(self.answer("b", "s1", "s2", at=second + 0.5), [])

    def test_server_without_requests_does_not_hide_the_cut(self):
        """One that was ejected gets none, so that nobody refutes the failures there."""
        self.fail("a", "s1", "s2")
        self.answer("b", "s2", at=0.5)
        self.fail("a", "s2", at=0.6)
        self.assertEqual(self.answer("b", "s2", at=1.0), ["a"])

    def test_servers_that_fail_for_all_are_not_excused(self):
        for entry in ("a", "b", "c"):
            for server in ("s1", "s2"):
                counts = self.reporters.record_failure(entry, source(server), 0.0)
                self.assertTrue(counts)
        self.assertEqual(self.answer("c", "s3", "s4", at=0.5), [])
        self.assertEqual(self.reporters.cut_off, frozenset())

    def test_failures_in_a_row_count_if_nobody_gets_answers(self):
        for entry in ("a", "b", "c"):
            self.fail(entry, "s1", "s2")
        self.assertTrue(self.reporters.record_failure("a", source("s1"), 1.0))
        self.answer("c", "s3", at=1.5)
        self.assertFalse(self.reporters.record_failure("a", source("s1"), 2.0))

    def test_answer_at_about_the_same_time_refutes_nothing(self):
        """It may have been sent before the server failed."""
        self.fail("a", "s1", "s2", at=1.0)
        self.assertEqual(self.answer("b", "s1", "s2", at=1.05), [])

    def test_answers_of_another_version_refute_nothing(self):
        self.fail("a", "s1", "s2", version="v2")
        self.assertEqual(self.answer("b", "s1", "s2", at=0.5), [])

    def test_answers_after_a_restart_refute_nothing(self):
        self.fail("a", "s1", "s2")
        for server in ("s1", "s2"):
            later = source(server, incarnation=2)
            self.assertEqual(self.reporters.record_answer("b", later, 0.5), ())

    def test_answer_ends_the_doubt(self):
        self.fail("a", "s1", "s2")
        self.answer("b", "s1", "s2", at=0.5)
        self.answer("a", "s1", at=0.6)
        self.assertFalse(self.reporters.is_cut_off("a"))

    def test_own_answers_in_between_exclude_a_cut(self):
        self.fail("a", "s1", at=0.0)
        self.answer("b", "s1", at=0.5)
        self.answer("a", "s3", at=0.6)
        self.fail("a", "s2", at=0.7)
        self.assertEqual(self.answer("b", "s2", at=1.2), [])

    def test_doubt_ends_without_further_evidence(self):
        self.fail("a", "s1", "s2")
        self.answer("b", "s1", "s2", at=0.5)
        self.reporters.expire(5.4)
        self.assertTrue(self.reporters.is_cut_off("a"))
        self.reporters.expire(5.6)
        self.assertFalse(self.reporters.is_cut_off("a"))

    def test_slots_of_instances_without_answers_are_limited(self):
        """Requests that hang must leave slots for those that are answered."""
        self.fail("a", "s1")
        self.assertFalse(self.reporters.is_limited("a"))
        self.fail("a", "s2")
        held = [self.hold("a", 9) for _ in range(9)]
        self.assertEqual(held, [True, True, *[False] * 7])
        self.answer("a", "s1", at=0.1)
        self.assertFalse(self.reporters.is_limited("a"))

    def test_slots_are_not_limited_if_all_fail(self):
        for entry in ("a", "b", "c"):
            self.fail(entry, "s1", "s2")
        self.assertTrue(all(self.hold("a", 9) for _ in range(9)))

    def hold(self, entry: str, slots: int) -> bool:
        """Hold another slot if the instance may; return whether it does."""
        may_hold = self.reporters.may_hold_more(slots)
        if may_hold:
            self.reporters.record_grant(entry)
        return may_hold

    def test_old_failures_do_not_limit_an_idle_instance(self):
        self.fail("a", "s1", "s2")
        self.reporters.expire(5.1)
        self.assertFalse(self.reporters.is_limited("a"))
        self.assertTrue(self.reporters.record_failure("a", source("s3"), 60.0))

    def test_state_is_bounded(self):
        for number in range(1_000):
            self.fail("a", f"s{number}")
        self.assertLessEqual(len(self.reporters._failures), 16)
        self.reporters.forget("a")
        self.assertEqual(len(self.reporters._failures), 0)
        self.assertEqual(self.reporters.names, ("b", "c"))
