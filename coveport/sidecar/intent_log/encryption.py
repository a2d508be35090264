"""What of records is members' data: sealed with a key of the installation, and never in a log.

AES-GCM with a nonce of its own for each sealing; bound to the record's id and to what it is, so that one
can't stand in another's place. The key file has a line for each key, `NAME HEX` (32 bytes), the first of
which seals; the others open what was sealed before the key was changed. Nobody but its owner may read it.
"""

from __future__ import annotations

import os
import stat
from pathlib import Path
from typing import Any

import msgspec

KEY_BYTES, NONCE_BYTES = 32, 12


class SealError(Exception):
    """A key file that can't be used, or something that can't be opened; one line."""


class Asked(msgspec.Struct, frozen=True):
    """What a client asked for, as it is kept."""

    method: str
    target: str
    body: bytes
    request_id: str
    key: str | None
    content_type: tuple[str, ...] = ()
    accept: tuple[str, ...] = ()


class Given(msgspec.Struct, frozen=True):
    """The answer that a node made, as it is kept."""

    body: bytes
    content_type: str | None = None


class Seal:
    """Seals and opens; see the head of this file."""

    def __init__(self, keys: dict[str, bytes]) -> None:
        from cryptography.hazmat.primitives.ciphers.aead import AESGCM

        if not keys:
            raise SealError("there is no key")
        self._first = next(iter(keys))
        self._keys: dict[str, Any] = {name: AESGCM(key) for name, key in keys.items()}

    def seal(self, identity: str, what: str, data: bytes) -> bytes:
        """Seal it: NAME, a space, the nonce, and what came of it."""
        nonce = os.urandom(NONCE_BYTES)
        bound = f"{identity} {what}".encode()
        return (
            self._first.encode() + b" " + nonce + bytes(self._keys[self._first].encrypt(nonce, data, bound))
        )

    def open(self, identity: str, what: str, sealed: bytes) -> bytes:
        """What was sealed; SealError where there is no such key any more, or it was changed."""
        from cryptography.exceptions import InvalidTag

        name, _, rest = sealed.partition(b" ")
        key = self._keys.get(name.decode("ascii", "replace"))
        if key is None:
            raise SealError(f"there is no key {name[:20]!r}")
        try:
            return bytes(key.decrypt(rest[:NONCE_BYTES], rest[NONCE_BYTES:], f"{identity} {what}".encode()))
        except (InvalidTag, ValueError) as problem:
            raise SealError("it was changed, or is another record's") from problem


def read_keys(path: Path) -> dict[str, bytes]:
    """The keys of a file; SealError says what is wrong with it."""
    try:
        mode = os.stat(path).st_mode
        lines = path.read_text(encoding="ascii").split("\n")
    except (OSError, UnicodeDecodeError) as problem:
        raise SealError(f"{path}: {problem}") from problem
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise SealError(f"{path}: others may read it: {stat.filemode(mode)}; chmod 600")
    keys: dict[str, bytes] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.startswith("#"):
            continue
        name, _, told = line.strip().partition(" ")
        try:
            key = bytes.fromhex(told)
        except ValueError:
            key = b""
        if len(key) != KEY_BYTES or name in keys or not name.isalnum():
            raise SealError(f"{path}:{number}: NAME and {KEY_BYTES} bytes in hex, each name once")
        keys[name] = key
    if not keys:
        raise SealError(f"{path}: there is no key")
    return keys


class Kept:
    """What is kept of requests and answers: sealed, or left out. `most`: bytes of a body."""

    def __init__(self, seal: Seal | None, most: int) -> None:
        self._seal = seal
        self._most = most

    def asked(self, identity: str, asked: Asked) -> bytes:
        """A request as it is kept; empty: left out."""
        if self._seal is None or len(asked.body) > self._most:
            return b""
        return self._seal.seal(identity, "asked", msgspec.msgpack.encode(asked))

    def given(self, identity: str, given: Given) -> bytes:
        """An answer as it is kept; empty: left out."""
        if self._seal is None or len(given.body) > self._most:
            return b""
        return self._seal.seal(identity, "given", msgspec.msgpack.encode(given))

    def read_asked(self, identity: str, sealed: bytes) -> Asked | None:
        """A request again; None where it was left out or can't be opened."""
        found = self._read(identity, "asked", sealed, Asked)
        return found if isinstance(found, Asked) else None

    def read_given(self, identity: str, sealed: bytes) -> Given | None:
        """An answer again; None where it was left out or can't be opened."""
        found = self._read(identity, "given", sealed, Given)
        return found if isinstance(found, Given) else None

    def _read(self, identity: str, what: str, sealed: bytes, kind: type[Any]) -> object:
        if self._seal is None or not sealed:
            return None
        try:
            return msgspec.msgpack.decode(self._seal.open(identity, what, sealed), type=kind)
        except (SealError, msgspec.DecodeError, msgspec.ValidationError):
            return None
