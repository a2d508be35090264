"""A small cache of documents, found by their text."""

from __future__ import annotations

from typing import Final

from coveport.serving.configuration.document import Document


class DocumentCache:
    """The newest documents.

    Checking a change, storing it and acting on it all read the same text. One change may be applied twice, to
    the proposed and to the committed state, so the previous document is cached too.
    """

    CAPACITY: Final = 2

    def __init__(self) -> None:
        self._entries: list[tuple[bytes, Document]] = []  # text and document, the newest first

    def find(self, text: bytes) -> Document | None:
        """Return the document of a text; None where it isn't cached."""
        return next((document for cached, document in self._entries if cached == text), None)

    def add(self, text: bytes, document: Document) -> None:
        """Cache a document, and evict the oldest one beyond the capacity."""
        older = [entry for entry in self._entries if entry[0] != text]
        self._entries = [(text, document), *older[: self.CAPACITY - 1]]
