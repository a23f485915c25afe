"""Lifecycle of an entry process, as a state machine.

``starting`` until the first lease, ``ready`` while callers are admitted,
``draining`` while requests in flight end, then ``stopped``.
"""

import typing

import automat


class Lifecycle(typing.Protocol):
    """Inputs of the machine."""

    def lease_gained(self) -> None:
        """Note the first lease."""

    def drain(self) -> None:
        """Stop admitting."""

    def drained(self) -> None:
        """Note that nothing is in flight any more."""

    def get_state(self) -> str:
        """Return the name of the present state."""


class Core:
    """Shared data of the machine; it has none."""


def _build():
    builder = automat.TypeMachineBuilder(Lifecycle, Core)
    starting = builder.state("starting")
    ready = builder.state("ready")
    draining = builder.state("draining")
    stopped = builder.state("stopped")

    starting.upon(Lifecycle.lease_gained).to(ready).returns(None)
    starting.upon(Lifecycle.drain).to(draining).returns(None)
    starting.upon(Lifecycle.drained).loop().returns(None)
    ready.upon(Lifecycle.lease_gained).loop().returns(None)
    ready.upon(Lifecycle.drain).to(draining).returns(None)
    ready.upon(Lifecycle.drained).loop().returns(None)
    draining.upon(Lifecycle.lease_gained).loop().returns(None)
    draining.upon(Lifecycle.drain).loop().returns(None)
    draining.upon(Lifecycle.drained).to(stopped).returns(None)
    for ignored in (
        Lifecycle.lease_gained,
        Lifecycle.drain,
        Lifecycle.drained,
    ):
        stopped.upon(ignored).loop().returns(None)
    for state, name in (
        (starting, "starting"),
        (ready, "ready"),
        (draining, "draining"),
        (stopped, "stopped"),
    ):
        state.upon(Lifecycle.get_state).loop().returns(name)
    return builder.build()


_MACHINE = _build()


def build_lifecycle() -> Lifecycle:
    """Build a machine in the state ``starting``."""
    return _MACHINE(Core())
