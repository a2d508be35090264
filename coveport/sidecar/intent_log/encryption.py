"""Authenticated encryption of members' data in records, and the key file.

AES-GCM (NIST SP 800-38D) with a fresh random nonce for each encryption; the record's id and the kind of the
payload are authenticated with it, so that a ciphertext can't be substituted for another ciphertext. A key
file has a line for each key, `NAME HEX` (32 bytes). The first key encrypts; the others decrypt payloads that
were encrypted before the key was changed. Only the file's owner may have access to the file.
"""

from __future__ import annotations

import os
import stat
from pathlib import Path
from typing import Any

from coveport.sidecar.intent_log.errors import EncryptionError

KEY_BYTES = 32  # AES-256
NONCE_BYTES = 12  # the nonce length recommended for GCM
_GROUP_AND_OTHER_BITS = stat.S_IRWXG | stat.S_IRWXO  # mode bits that a key file must not have
_MAX_NAME_BYTES_IN_ERROR = 20  # longer key names are cut off in an error's text


class KeyRing:
    """Keys by name; the first key encrypts. The constructor raises EncryptionError if there is no key."""

    def __init__(self, keys: dict[str, bytes]) -> None:
        # Imported late: most installations keep no payloads.
        from cryptography.hazmat.primitives.ciphers.aead import AESGCM

        if not keys:
            raise EncryptionError("there is no key")
        self._current = next(iter(keys))
        self._ciphers: dict[str, Any] = {name: AESGCM(key) for name, key in keys.items()}

    def encrypt(self, record_id: str, kind: str, data: bytes) -> bytes:
        """Encrypt data; return the key's name, a space, the nonce and the ciphertext."""
        nonce = os.urandom(NONCE_BYTES)
        ciphertext = self._ciphers[self._current].encrypt(nonce, data, _associated_data(record_id, kind))
        return self._current.encode() + b" " + nonce + bytes(ciphertext)

    def decrypt(self, record_id: str, kind: str, sealed: bytes) -> bytes:
        """Return the decrypted data; raise EncryptionError for a missing key or changed data."""
        from cryptography.exceptions import InvalidTag

        name, _, rest = sealed.partition(b" ")
        cipher = self._ciphers.get(name.decode("ascii", "replace"))
        if cipher is None:
            raise EncryptionError(f"there is no key {name[:_MAX_NAME_BYTES_IN_ERROR]!r}")
        nonce, ciphertext = rest[:NONCE_BYTES], rest[NONCE_BYTES:]
        try:
            return bytes(cipher.decrypt(nonce, ciphertext, _associated_data(record_id, kind)))
        except (InvalidTag, ValueError) as error:
            raise EncryptionError("the payload was changed, or belongs to another record") from error


def _associated_data(record_id: str, kind: str) -> bytes:
    return f"{record_id} {kind}".encode()


def read_keys(path: Path) -> dict[str, bytes]:
    """Return the keys of a file by name; raise EncryptionError with the file and line that can't be used."""
    try:
        mode = os.stat(path).st_mode
        lines = path.read_text(encoding="ascii").split("\n")
    except (OSError, UnicodeDecodeError) as error:
        raise EncryptionError(f"{path}: {error}") from error
    if mode & _GROUP_AND_OTHER_BITS:
        raise EncryptionError(f"{path}: others may read it: {stat.filemode(mode)}; chmod 600")
    keys: dict[str, bytes] = {}
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.startswith("#"):
            continue
        name, _, digits = line.strip().partition(" ")
        try:
            key = bytes.fromhex(digits)
        except ValueError:
            key = b""
        if len(key) != KEY_BYTES or name in keys or not name.isalnum():
            raise EncryptionError(f"{path}:{number}: NAME and {KEY_BYTES} bytes in hex, each name once")
        keys[name] = key
    if not keys:
        raise EncryptionError(f"{path}: there is no key")
    return keys
