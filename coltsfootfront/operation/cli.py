"""Command line for operators: the program ``coltsfootfront``.

Exit codes: 0 for success, 1 for failures, 2 for a bad setting, document or command line.
"""

import asyncio
import json
import random
import secrets
import sys
from collections.abc import Iterable
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from itertools import chain
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import cappa

from coltsfootfront import __version__
from coltsfootfront.common.clock import Clock, SystemClock
from coltsfootfront.common.errors import EXIT_BAD_SETTING, ErrorKind, ExecutionState
from coltsfootfront.common.settings import OperatorSettings, load_or_exit
from coltsfootfront.configuration import schema
from coltsfootfront.keyvalue.etcd import read_bounded
from coltsfootfront.operation import losses, lossreport

EXIT_FAILURE = 1
EXIT_BAD_INPUT = EXIT_BAD_SETTING
# A change whose outcome is unknown is retried with the same operation ID.
CHANGE_ATTEMPTS = 4
RETRY_BASE_S = 0.5
MAX_ANSWER_BYTES = 256 * 1024 * 1024

Json = dict[str, Any]


class CommandError(Exception):
    """A failed command; the message is one line.

    :param exit_code: exit code of the program.
    """

    def __init__(self, message: str, exit_code: int = EXIT_FAILURE) -> None:
        super().__init__(message)
        self.exit_code = exit_code


class UnknownOutcomeError(CommandError):
    """An API call that may or may not have taken effect."""


class NotRunError(CommandError):
    """An API call that had no effect because a component is unreachable or overloaded."""


_File = Annotated[Path, cappa.Arg(help="Document in JSON.")]
_Expected = Annotated[
    int | None,
    cappa.Arg(
        long="--expected-revision",
        help="Revision that the change was made for; without it the one in the store.",
    ),
]


@cappa.command
@dataclass
class Check:
    """Check a document without the administration API."""

    file: _File


@cappa.command
@dataclass
class Apply:
    """Apply a document."""

    file: _File
    expected_revision: _Expected = None


@cappa.command
@dataclass
class Diff:
    """Show how a document differs from the one in force."""

    file: _File


@cappa.command
@dataclass
class Document:
    """Print the document in force."""


@cappa.command
@dataclass
class History:
    """List the latest revisions."""

    limit: Annotated[int, cappa.Arg(long=True, help="Number of revisions.")] = 20


@cappa.command
@dataclass
class Rollback:
    """Publish the content of an old revision as a new one."""

    revision: Annotated[int, cappa.Arg(help="Revision whose content is restored.")]
    expected_revision: _Expected = None


@cappa.command
@dataclass
class Status:
    """Show the revision in force at every process."""


@cappa.command
@dataclass
class Drain:
    """Withdraw a target, or lend it again."""

    target: Annotated[str, cappa.Arg(help="Name of the target.")]
    undo: Annotated[bool, cappa.Arg(long=True, help="Lend the target again.")] = False


@cappa.command
@dataclass
class Explain:
    """Show how a request would be placed."""

    customer: Annotated[str, cappa.Arg(long=True, help="Customer name.")] = ""
    model: Annotated[str, cappa.Arg(long=True, help="Model, or model:adapter.")] = ""
    prompt_file: Annotated[
        Path | None, cappa.Arg(long="--prompt-file", help="Prompt in UTF-8; empty without it.")
    ] = None
    router: Annotated[
        str,
        cappa.Arg(long=True, help="Metrics address of a router without agents, which is asked."),
    ] = ""
    host: Annotated[str, cappa.Arg(long=True, help="With --router: host of the request.")] = ""
    path: Annotated[str, cappa.Arg(long=True, help="With --router: path of the request.")] = "/"
    prompt_tokens: Annotated[
        int, cappa.Arg(long="--prompt-tokens", help="With --router: length of the prompt.")
    ] = 0
    part: Annotated[
        list[str],
        cappa.Arg(long=True, help="With --router: KEY:TOKENS of a part of the prompt, in order."),
    ] = field(default_factory=list)


@cappa.command
@dataclass
class Losses:
    """Show from routers' logs where requests were late, failed or were refused.

    Example: cat router-*.log | coltsfootfront losses
    """

    files: Annotated[
        list[Path], cappa.Arg(help="Logs of any number of routers; standard input without them.")
    ] = field(default_factory=list)
    as_json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON, with each request.")] = (
        False
    )


ApiCommand = Apply | Diff | Document | History | Rollback | Status | Drain | Explain
Command = Check | Losses | ApiCommand


@cappa.command(name="coltsfootfront")
@dataclass
class Arguments:
    """Operate the configuration of coltsfootfront."""

    command: cappa.Subcommands[Command]
    config: Annotated[
        Path | None, cappa.Arg(long=True, propagate=True, help="TOML settings file.")
    ] = field(default=None)


class AdminClient:
    """Client of the administration API.

    :param settings: validated settings.
    :param clock: time source.
    """

    def __init__(self, settings: OperatorSettings, clock: Clock) -> None:
        self._url = settings.admin_url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=settings.timeout_s)
        self._headers = {"Authorization": f"Bearer {settings.key}"}
        self._clock = clock

    async def get(self, path: str) -> Json:
        """Send a GET request.

        :raises CommandError: the call failed.
        """
        return await self._call("GET", path, None)

    async def post(self, path: str, body: Json) -> Json:
        """Send a POST request that changes nothing.

        :raises CommandError: the call failed.
        """
        return await self._call("POST", path, body)

    async def change(self, path: str, body: Json) -> Json:
        """Make a change, retrying while its outcome is unknown; it takes effect at most once.

        :raises CommandError: the change was refused, or its outcome stays unknown.
        """
        operation_id = secrets.token_hex(16)
        unknown = False
        for attempt in range(1, CHANGE_ATTEMPTS + 1):
            try:
                return await self._call("POST", path, {**body, "operation_id": operation_id})
            except UnknownOutcomeError as error:
                unknown, reason = True, str(error)
            except NotRunError as error:
                # Unless an earlier attempt has an unknown outcome, the change has failed.
                if not unknown:
                    raise
                reason = str(error)
            await self._clock.sleep(random.uniform(0, RETRY_BASE_S * 2**attempt))
        message = f"outcome of operation {operation_id} is unknown, see the history: {reason}"
        raise UnknownOutcomeError(message)

    async def _call(self, method: str, path: str, body: Json | None) -> Json:
        try:
            async with (
                aiohttp.ClientSession(timeout=self._timeout, headers=self._headers) as session,
                session.request(method, self._url + path, json=body) as response,
            ):
                answer = json.loads(await read_bounded(response, MAX_ANSWER_BYTES))
                ok = response.ok
        except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
            raise NotRunError(f"{self._url}: cannot be reached: {error}") from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise UnknownOutcomeError(f"{self._url}: no valid answer: {error!r}") from error
        if not isinstance(answer, dict):
            raise UnknownOutcomeError(f"{self._url}: no valid answer")
        if not ok:
            raise _error_from_answer(answer)
        return answer


def _error_from_answer(answer: Json) -> CommandError:
    error = answer.get("error")
    if not isinstance(error, dict):
        return CommandError("the API refused the call")
    message = f"{error.get('kind')}: {error.get('message')}"
    difference = error.get("difference")
    if isinstance(difference, dict):
        message += f"; changed since: {_summarize_difference(difference)}"
    if error.get("kind") == ErrorKind.INVALID_DOCUMENT.value:
        return CommandError(message, EXIT_BAD_INPUT)
    if error.get("run") == ExecutionState.UNKNOWN.value:
        return UnknownOutcomeError(message)
    if error.get("kind") in (ErrorKind.STORE_UNAVAILABLE.value, ErrorKind.OVERLOADED.value):
        return NotRunError(message)
    return CommandError(message)


def _summarize_difference(difference: Json) -> str:
    parts = []
    for kind in ("added", "changed", "removed"):
        keys = difference.get(kind) or []
        if keys:
            shown = ", ".join(keys[:5])
            more = f" and {len(keys) - 5} more" if len(keys) > 5 else ""
            parts.append(f"{kind} {shown}{more}")
    return "; ".join(parts) or "nothing"


def read_document(path: Path) -> Json:
    """Read and validate a document.

    :raises CommandError: the message names file, key, value and what is allowed.
    """
    try:
        document = schema.parse(path.read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        message = f"{path}: cannot be read: {error}: allowed: a JSON object"
        raise CommandError(message, EXIT_BAD_INPUT) from error
    faults = schema.validate(document)
    if faults:
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        raise CommandError(f"{path}: {faults[0]}{more}", EXIT_BAD_INPUT)
    checked: Json = document
    return checked


async def run(command: Command, settings: OperatorSettings, clock: Clock) -> list[str]:
    """Run one command.

    :returns: lines for standard output.
    :raises CommandError: the command failed.
    """
    match command:
        case Check():
            read_document(command.file)
            return [f"{command.file}: valid"]
        case Losses():
            return _losses(command)
        case Explain() if command.router:
            # The key is for the administration API alone.
            router = replace(settings, admin_url=f"http://{command.router}", key="")
            return await _explain_at_router(AdminClient(router, clock), command)
        case _:
            return await _call_api(command, AdminClient(settings, clock))


async def _call_api(command: ApiCommand, api: AdminClient) -> list[str]:
    match command:
        case Apply():
            return await _apply(api, command)
        case Diff():
            return await _diff(api, command)
        case Document():
            answer = await api.get("/v1/document")
            return [json.dumps(answer["document"], indent=2)]
        case History():
            return await _history(api, command)
        case Rollback():
            return await _rollback(api, command)
        case Status():
            return await _status(api)
        case Drain():
            return await _drain(api, command)
        case Explain():
            return await _explain(api, command)


async def _resolve_expected_revision(api: AdminClient, expected_revision: int | None) -> int:
    if expected_revision is not None:
        return expected_revision
    answer = await api.get("/v1/document")
    return int(answer["revision"])


async def _apply(api: AdminClient, command: Apply) -> list[str]:
    document = read_document(command.file)
    expected = await _resolve_expected_revision(api, command.expected_revision)
    body = {"document": document, "expected_revision": expected}
    answer = await api.change("/v1/apply", body)
    return [f"revision {answer['revision']} accepted"]


async def _diff(api: AdminClient, command: Diff) -> list[str]:
    answer = await api.post("/v1/diff", {"document": read_document(command.file)})
    lines = [f"compared with revision {answer['revision']}"]
    for kind, sign in (("added", "+"), ("changed", "~"), ("removed", "-")):
        for key in answer["difference"][kind]:
            lines.append(f"{sign} {key}")
            lines += _changed_fields(answer["entries"][key])
    return lines


def _changed_fields(entry: Json) -> list[str]:
    old, new = entry.get("old"), entry.get("new")
    if not isinstance(old, dict) or not isinstance(new, dict):
        return []
    return [
        f"    {key}: {json.dumps(old.get(key))} -> {json.dumps(new.get(key))}"
        for key in sorted({*old, *new})
        if old.get(key) != new.get(key)
    ]


async def _history(api: AdminClient, command: History) -> list[str]:
    answer = await api.get(f"/v1/history?limit={command.limit}")
    return [
        f"{item['revision']}  {item['time']}  {item['operator']}  {item['operation_id']}"
        + (f"  restored {item['restored']}" if item.get("restored") else "")
        for item in answer["revisions"]
    ]


async def _rollback(api: AdminClient, command: Rollback) -> list[str]:
    expected = await _resolve_expected_revision(api, command.expected_revision)
    body = {"revision": command.revision, "expected_revision": expected}
    answer = await api.change("/v1/rollback", body)
    return [f"revision {answer['revision']} accepted"]


async def _status(api: AdminClient) -> list[str]:
    answer = await api.get("/v1/status")
    lines = [f"revision {answer['revision']}"]
    for row in answer["processes"]:
        name = row.get("name") or row.get("target") or "-"
        state = "ready" if row.get("ready") else "not ready"
        if row.get("error"):
            state = f"no answer: {row['error']}"
        role, revision = row.get("role") or "-", row.get("revision")
        shown = "-" if revision is None else revision
        lines.append(f"{name}  {role}  {row['address']}  revision {shown}  {state}")
    return lines


async def _drain(api: AdminClient, command: Drain) -> list[str]:
    body = {"target": command.target, "withdrawn": not command.undo}
    answer = await api.change("/v1/drain", body)
    state = "lent again" if command.undo else "withdrawn"
    return [f"{command.target} {state} with revision {answer['revision']}"]


async def _explain_at_router(api: AdminClient, command: Explain) -> list[str]:
    parts = []
    for text in command.part:
        key, _, tokens = text.rpartition(":")
        if not key or not tokens.isdecimal():
            raise CommandError(f"--part {text}: allowed: KEY:TOKENS", EXIT_BAD_INPUT)
        parts.append([key, int(tokens)])
    body = {
        "host": command.host,
        "path": command.path,
        "customer": command.customer,
        "model": command.model,
        "prompt_tokens": command.prompt_tokens,
        "parts": parts,
    }
    return [json.dumps(await api.post("/explain", body), indent=2)]


async def _explain(api: AdminClient, command: Explain) -> list[str]:
    if not command.customer or not command.model:
        raise CommandError("explain: --customer and --model are required", EXIT_BAD_INPUT)
    prompt = ""
    if command.prompt_file is not None:
        try:
            prompt = command.prompt_file.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            message = f"{command.prompt_file}: cannot be read: {error}: allowed: UTF-8 text"
            raise CommandError(message, EXIT_BAD_INPUT) from error
    body = {"customer": command.customer, "model": command.model, "prompt": prompt}
    return [json.dumps(await api.post("/v1/explain", body), indent=2)]


def _losses(command: Losses) -> list[str]:
    try:
        with ExitStack() as stack:
            logs: list[Iterable[str]] = [
                stack.enter_context(path.open(encoding="utf-8", errors="replace"))
                for path in command.files
            ]
            analysis = losses.find_losses(chain.from_iterable(logs or [sys.stdin]))
    except OSError as error:
        message = f"{error.filename}: cannot be read: {error.strerror}: allowed: a router's log"
        raise CommandError(message, EXIT_BAD_INPUT) from error
    if command.as_json:
        return [json.dumps(lossreport.as_json(analysis), indent=2)]
    return lossreport.as_text(analysis)


def main() -> None:
    """Run the command and exit."""
    arguments = cappa.parse(Arguments, version=__version__)
    settings = OperatorSettings()
    if arguments.config is not None:
        settings = load_or_exit(arguments.config, OperatorSettings)
    try:
        lines = asyncio.run(run(arguments.command, settings, SystemClock()))
    except CommandError as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_code)
    print("\n".join(lines))


if __name__ == "__main__":
    main()
