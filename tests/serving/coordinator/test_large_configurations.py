"""A configuration whose parts would take too much memory is refused before it is read."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from coveport.serving.coordinator.operator_api import MAX_CONTAINERS, OperatorApi
from coveport.serving.web.messages import ApiRequest, ApiResponse


class RecordingCore:
    """A core that takes every change."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    async def find_other_primary(self) -> None:
        return None

    async def submit(self, command: bytes) -> ApiResponse:
        self.commands.append(command)
        return ApiResponse(200)


@pytest.mark.parametrize("containers", [MAX_CONTAINERS, MAX_CONTAINERS + 1])
@pytest.mark.parametrize("method", ["PUT", "PATCH"])
def test_a_text_with_too_many_objects_and_lists_is_refused(method: str, containers: int) -> None:
    core: Any = RecordingCore()
    api = OperatorApi(core, 0, frozenset())
    handler = api.put_configuration if method == "PUT" else api.patch_configuration
    body = b"[" + b"{}," * (containers - 2) + b"{}]"
    request = ApiRequest(method, "/coveport/config", "", {}, {"if-match": ["0"]}, body, "h")
    response = asyncio.run(handler(request))
    is_taken = containers == MAX_CONTAINERS
    assert (response.status, len(core.commands)) == ((200, 1) if is_taken else (413, 0))
