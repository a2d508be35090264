"""Errors of frames and messages between this system's own processes.

As in h11, the class says whose fault it is: `RemoteProtocolError` where the bytes are wrong, whoever wrote
them (a peer, or an earlier process whose stored records are read), `LocalProtocolError` where this process
asked for something that the protocol can't express.
"""

from __future__ import annotations

from coveport.serving.wire.versions import FRAME_VERSION


class ProtocolError(Exception):
    """Base of all errors of this package."""


class LocalProtocolError(ProtocolError):
    """A message or a type of field has no form in the protocol: a mistake of the calling code."""


class RemoteProtocolError(ProtocolError):
    """The bytes that were read aren't what this version of the protocol writes."""


class MalformedFrameError(RemoteProtocolError):
    """The header of a frame is wrong, its payload is too long, or its checksum differs."""


class UnsupportedVersionError(MalformedFrameError):
    """A frame of a program whose messages can't be read: it is too old, or too new."""

    def __init__(self, version: int) -> None:
        """`version`: that of the frame's header."""
        super().__init__(f"frames of version {version}; this program reads version {FRAME_VERSION} only")
        self.version = version


class VersionRejectedError(RemoteProtocolError):
    """The peer said that it can't read our frames."""

    def __init__(self, frame_version: int) -> None:
        """`frame_version`: the version that the peer reads."""
        super().__init__(f"the peer reads frames of version {frame_version} only, not {FRAME_VERSION}")
        self.frame_version = frame_version


class MalformedMessageError(RemoteProtocolError):
    """The payload of a frame or of a stored record is no message of the codec."""
