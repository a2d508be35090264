"""Errors of HTTP/1.1 parsing."""

from __future__ import annotations


class RemoteProtocolError(Exception):
    """The peer sent an invalid or unacceptable message; nothing more can be read from the connection.

    If the peer is a client, the response to it has the status `status`, the headers `headers`, and the error
    text as its body. The text therefore names the fault and quotes nothing from the message.
    """

    def __init__(self, status: int, text: str, **headers: str) -> None:
        super().__init__(text)
        self.status = status
        self.headers = headers
