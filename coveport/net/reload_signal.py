"""Holds back SIGHUP, which asks a process to reload its settings, until the process can handle it.

By default SIGHUP ends a process. From the start of a process until its handler is installed the signal is
blocked, and then delivered: a change of the settings in the meantime is not missed.
"""

from __future__ import annotations

import signal


def hold_reload_signal() -> None:
    """Block SIGHUP; call this before imports that take long."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


def release_reload_signal() -> None:
    """Deliver SIGHUP, also one that was held back; call this once the handler is installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
