"""Entry point of the router on the users' platform."""

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass

from coltsfootfront import __version__
from coltsfootfront.common.clock import Clock, SystemClock
from coltsfootfront.common.errors import EXIT_BAD_SETTING, SettingsError
from coltsfootfront.common.runtime import serve
from coltsfootfront.direct.node import Node
from coltsfootfront.direct.settings import NodeSettings
from coltsfootfront.platform import settings
from coltsfootfront.platform.cachedparts import PlatformPartReader
from coltsfootfront.platform.callerserver import PlatformCallerServer
from coltsfootfront.platform.decoder import PlatformDecoder
from coltsfootfront.platform.orders import PlatformOrderClient
from coltsfootfront.platform.store import PlatformStore
from coltsfootfront.platform.targets import PlatformTargetClient

PROGRAM = "coltsfootfront-platform"
LOG_LEVEL = "info"


def _parse_arguments() -> None:
    """Answer ``--help`` and ``--version``; the settings come from the environment alone."""
    # Imported on demand: the platform passes no arguments, so no parser is needed then.
    import cappa

    @cappa.command(name=PROGRAM, help="Routes callers of the users' platform to its targets.")
    @dataclass
    class Command:
        pass

    cappa.parse(Command, version=__version__, completion=False)


def make_node(
    initial_settings: NodeSettings,
    load_settings: Callable[[], NodeSettings],
    generator: random.Random,
    clock: Clock | None = None,
) -> Node:
    """Build the router with the platform's adapters.

    :param initial_settings: settings at the start; a reload keeps their name and addresses.
    :param load_settings: reads the settings, also for each reload.
    :param generator: source of jitter, so that routers do not act in step.
    :param clock: time source, the system's if there is none.
    """
    clock = clock or SystemClock()
    return Node(
        load_settings,
        clock,
        PlatformStore(initial_settings.store.address),
        PlatformDecoder(),
        PlatformTargetClient(),
        PlatformOrderClient(initial_settings.name),
        PlatformPartReader(),
        lambda handler: PlatformCallerServer(handler, clock),
        generator,
    )


def main() -> None:
    """Run the program."""
    if len(sys.argv) > 1:
        _parse_arguments()
    try:
        initial_settings = settings.load()
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTING)
    serve(
        make_node(initial_settings, settings.load, random.Random()),
        initial_settings.name,
        LOG_LEVEL,
    )
