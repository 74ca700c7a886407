"""Merging and lookup of configuration objects.

Guards against stale messages, lists or peers that revert a change or restore a deleted
object because updates arrive in any order.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamaracktray.configuration import Configuration
from tamaracktray.resources import Kind, RolloutSpec, VersionSpec
from tamaracktray.testing import make_resource, make_zone

DIGEST = "a" * 64


class TestMerge:
    def test_newer_object_replaces_older(self):
        configuration = Configuration().merge([make_zone("z", 2)], 2)
        configuration = configuration.merge([make_zone("z", 5, out=True)], 5)
        assert configuration.is_zone_out("z")
        assert configuration.revision == 5

    def test_stale_message_reverts_nothing(self):
        configuration = Configuration().merge([make_zone("z", 5, out=True)], 5)
        assert configuration.merge([make_zone("z", 2)], 9).is_zone_out("z")

    def test_stale_complete_list_changes_nothing(self):
        configuration = Configuration().merge([make_zone("z", 5, out=True)], 5)
        assert configuration.merge([], 3, complete=True) is configuration

    def test_complete_list_deletes_absent_objects(self):
        configuration = Configuration().merge([make_zone("z", 5)], 5)
        configuration = configuration.merge([], 8, complete=True)
        assert configuration.get(Kind.ZONE, "z") is None
        assert configuration.merge([make_zone("z", 5)], 8).get(Kind.ZONE, "z") is None

    def test_complete_list_keeps_newer_single_objects(self):
        configuration = Configuration().merge([make_zone("z", 9)], 5)
        assert configuration.merge([], 7, complete=True).get(Kind.ZONE, "z")

    def test_stale_peer_cannot_restore_a_deleted_object(self):
        configuration = Configuration().merge([], 8, complete=True)
        assert configuration.merge([make_zone("z", 5)], 6).get(Kind.ZONE, "z") is None

    def test_revision_rises_without_changes(self):
        configuration = Configuration().merge([make_zone("z", 5)], 0)
        assert configuration.merge([], 9).revision == 9

    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 9)), unique=True),
        st.randoms(use_true_random=False),
    )
    def test_order_of_arrival_does_not_matter(self, changes, random):
        resources = [
            make_zone(name, version, out=bool(version % 2)) for name, version in changes
        ]
        forward = Configuration().merge(resources, 9)
        random.shuffle(resources)
        shuffled = Configuration()
        for resource in resources:
            shuffled = shuffled.merge([resource], 0)
        assert shuffled.digest == forward.digest
        assert {k: v.resource_version for k, v in shuffled.by_key.items()} == {
            k: v.resource_version for k, v in forward.by_key.items()
        }


class TestChanges:
    def test_changes_since_a_revision(self):
        configuration = Configuration().merge(
            [make_zone("a", 2), make_zone("b", 4), make_zone("c", 6)], 6
        )
        names = {resource.name for resource in configuration.changes_since(2)}
        assert names == {"b", "c"}


class TestLookup:
    def test_newest_rollout_of_the_model_wins(self):
        rollouts = [
            make_resource(Kind.ROLLOUT, "one", RolloutSpec("kiln", "v1"), 3),
            make_resource(Kind.ROLLOUT, "two", RolloutSpec("kiln", "v2"), 7),
            make_resource(Kind.ROLLOUT, "other", RolloutSpec("else", "v3"), 9),
        ]
        configuration = Configuration().merge(rollouts, 9)
        assert configuration.find_rollout("kiln").name == "two"

    @pytest.mark.parametrize(("name", "found"), [("v1", DIGEST), ("v2", None)])
    def test_manifest_of_a_version(self, name, found):
        version = make_resource(Kind.VERSION, "v1", VersionSpec("kiln", DIGEST), 3)
        assert Configuration().merge([version], 3).find_manifest(name) == found
