"""State machine for the lifecycle of an entry process.

The state is ``starting`` until the first lease, ``ready`` while requests are
admitted, ``draining`` while requests in flight finish, then ``stopped``.
"""

import typing

import automat


class Lifecycle(typing.Protocol):
    """Inputs of the state machine."""

    def lease_gained(self) -> None:
        """Enter ``ready`` if the process is starting."""

    def drain(self) -> None:
        """Stop admitting requests."""

    def drained(self) -> None:
        """Enter ``stopped`` if the process is draining."""

    def get_state(self) -> str:
        """Return the name of the current state."""


class Core:
    """Shared data of the state machine, which has none."""


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
    """Build a state machine in the state ``starting``."""
    return _MACHINE(Core())
