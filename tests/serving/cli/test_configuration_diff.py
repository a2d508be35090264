"""Differences of two configurations, as printed."""

from __future__ import annotations

import json

from configuration_examples import Json, make_configuration

from coveport.serving.cli.configuration_diff import Difference, find_differences

SECRETS = ("first-secret", "second-secret", "third-secret")


def with_tenants(*tenants: Json) -> Json:
    return make_configuration(7, Senders=list(tenants))


def tenant(name: str, *keys: str) -> Json:
    return {"Name": name, "ApiKeys": list(keys), "Precedence": 1}


def printed(differences: list[Difference]) -> str:
    lines = [str(difference) for difference in differences]
    return "\n".join((*lines, json.dumps([difference.as_json() for difference in differences])))


def test_differences_hide_api_keys() -> None:
    first, second, third = SECRETS
    before = with_tenants(tenant("a", first), tenant("gone", third))
    after = with_tenants(tenant("a", first, second), tenant("new", third))
    differences = find_differences(before, after)
    assert [difference.path for difference in differences] == [
        "Senders.a.ApiKeys",
        "Senders.gone",
        "Senders.new",
    ]
    assert not [secret for secret in SECRETS if secret in printed(differences)]


def test_added_list_of_tenants_hides_api_keys() -> None:
    differences = find_differences(make_configuration(7), with_tenants(tenant("a", *SECRETS)))
    assert [difference.path for difference in differences] == ["Senders"]
    assert not [secret for secret in SECRETS if secret in printed(differences)]


def test_changed_api_key_is_a_difference() -> None:
    differences = find_differences(with_tenants(tenant("a", "x1")), with_tenants(tenant("a", "x2")))
    assert [str(difference) for difference in differences] == ['~ Senders.a.ApiKeys: ["***"] -> ["***"]']
