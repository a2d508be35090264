"""Errors of frames and messages between this system's own processes.

As in h11, the class says whose fault it is: `RemoteProtocolError` where the bytes are wrong, whoever wrote
them (a peer, or an earlier process whose stored records are read), `LocalProtocolError` where this process
asked for something that the protocol can't express.
"""

from __future__ import annotations


class ProtocolError(Exception):
    """Base of all errors of this package."""


class LocalProtocolError(ProtocolError):
    """A message or a type of field has no form in the protocol: a mistake of the calling code."""


class RemoteProtocolError(ProtocolError):
    """The bytes that were read aren't what this version of the protocol writes."""


class MalformedFrameError(RemoteProtocolError):
    """The header of a frame is wrong, its payload is too long, or its checksum differs."""


class MalformedMessageError(RemoteProtocolError):
    """The payload of a frame or of a stored record is no message of the codec."""
