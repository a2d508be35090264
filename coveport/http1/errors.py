"""Errors of HTTP/1.1 parsing."""

from __future__ import annotations


class RemoteProtocolError(Exception):
    """The peer sent what is no acceptable message; the connection can't be read any further.

    `status` is the answer to a client that sent it, `headers` are the answer's headers, and the text is its
    body: it goes to the client, so it names the fault and quotes nothing.
    """

    def __init__(self, status: int, text: str, **headers: str) -> None:
        super().__init__(text)
        self.status = status
        self.headers = headers
