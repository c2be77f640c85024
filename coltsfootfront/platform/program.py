"""The router as it runs on the users' platform."""

import random
import sys
from collections.abc import Callable
from dataclasses import dataclass

from coltsfootfront import __version__
from coltsfootfront.common.clock import SystemClock
from coltsfootfront.common.errors import EXIT_BAD_SETTING, SettingsError
from coltsfootfront.common.runtime import serve
from coltsfootfront.direct.node import Node
from coltsfootfront.direct.settings import NodeSettings
from coltsfootfront.platform import settings
from coltsfootfront.platform.decoder import PlatformDecoder
from coltsfootfront.platform.callerserver import CallerFront
from coltsfootfront.platform.orders import PlatformOrders
from coltsfootfront.platform.cachedparts import PlatformPartReader
from coltsfootfront.platform.store import PlatformStore
from coltsfootfront.platform.targets import PlatformTargetClient

PROGRAM = "coltsfootfront-platform"
LOG_LEVEL = "info"


def _parse_arguments() -> None:
    """Answer ``--help`` and ``--version``; the settings come from the environment alone."""
    # Imported here, since the platform starts the program without arguments.
    import cappa

    @cappa.command(name=PROGRAM, help="Routes callers of the users' platform to its targets.")
    @dataclass
    class Command:
        pass

    cappa.parse(Command, version=__version__, completion=False)


def make_node(
    found: NodeSettings, load_settings: Callable[[], NodeSettings], generator: random.Random
) -> Node:
    """Put the router together.

    :param found: settings at the start.
    :param load_settings: reads the settings again.
    :param generator: spreads what routers would otherwise do at the same moment.
    """
    clock = SystemClock()
    return Node(
        load_settings,
        clock,
        PlatformStore(found.store.address),
        PlatformDecoder(),
        PlatformTargetClient(),
        PlatformOrders(found.name),
        PlatformPartReader(),
        lambda handler: CallerFront(handler, clock),
        generator,
    )


def main() -> None:
    """Run the program."""
    if len(sys.argv) > 1:
        _parse_arguments()
    try:
        found = settings.load()
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTING)
    serve(make_node(found, settings.load, random.Random()), found.name, LOG_LEVEL)
