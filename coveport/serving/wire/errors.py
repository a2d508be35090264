"""Errors of frames and messages between this system's own processes.

As in h11, the class shows which side is at fault. `RemoteProtocolError`: the bytes that a peer sent, or that
an earlier process stored, are invalid. `LocalProtocolError`: this process tried to encode something that the
protocol doesn't support.
"""

from __future__ import annotations

from coveport.serving.wire.versions import FRAME_VERSION


class ProtocolError(Exception):
    """Base of all errors of this package."""


class LocalProtocolError(ProtocolError):
    """The protocol has no encoding for a message or a field type: an error of the calling code."""


class RemoteProtocolError(ProtocolError):
    """The bytes that were read are not valid in this version of the protocol."""


class MalformedFrameError(RemoteProtocolError):
    """The header of a frame is invalid, its payload is too long, or its checksum doesn't match."""


class UnsupportedVersionError(MalformedFrameError):
    """A frame was written by a program that is too old or too new for its messages to be read."""

    def __init__(self, version: int) -> None:
        """Create the error for the version in a frame's header."""
        super().__init__(f"frames of version {version}; this program reads version {FRAME_VERSION} only")
        self.version = version


class VersionRejectedError(RemoteProtocolError):
    """The peer reported that it can't read this program's frames."""

    def __init__(self, frame_version: int) -> None:
        """Create the error for the only version that the peer reads."""
        super().__init__(f"the peer reads frames of version {frame_version} only, not {FRAME_VERSION}")
        self.frame_version = frame_version


class MalformedMessageError(RemoteProtocolError):
    """The payload of a frame or a stored record is not a valid message of the codec."""
