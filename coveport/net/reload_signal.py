"""Holds back SIGHUP, which asks a process to reload its settings, until the process can handle it.

By default SIGHUP ends a process. From the start of a process until its handler is installed the signal is
blocked, and then delivered: a change of the settings in the meantime is not missed.

A process can't block the signal before the interpreter runs its first line. A launcher can do it for the
process, as the set of blocked signals survives `exec` (POSIX.1-2017, exec).
"""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager


def hold_reload_signal() -> None:
    """Block SIGHUP; call this before imports that take long."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def release_reload_signal() -> None:
    """Deliver SIGHUP, also one that was held back; call this once the handler is installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


@contextmanager
def reload_signal_held_for_children() -> Iterator[None]:
    """Block SIGHUP in the calling thread, so that a child started in this context starts with it blocked.

    Start only programs that release the signal.
    """
    previous = signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, previous)
