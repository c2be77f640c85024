"""Names of the headers that the platform's clients and targets use."""

from coltsfootfront.calls.headers import HOP_BY_HOP

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"
CREDENTIAL = "Authorization"
CREDENTIAL_SCHEME = "token "
MODEL = "X-Model"
# Prompt tokens and the most output tokens, separated by a comma.
TOKENS = "X-Token-Usage"
# Parts of the prompt as ID:TOKENS, separated by commas.
PARTS = "X-Prompt-Prefix"
RESUME_AFTER = "Last-Event-Id"
RETRY_AFTER = "Retry-After"
# Proof of the target that an answer is its own.
SIGNATURE = "X-Response-Signature"

CUSTOMER = "X-Tenant"
EXPECTED_TARGET = "X-Expect-Instance"
EXPECTED_VERSION = "X-Expect-Version"
PRIORITY = "X-Request-Priority"
SALT = "X-Cache-Salt"
FETCH_FROM = "X-Kv-Fetch"
SAVE_TO = "X-Kv-Save"

NOT_RUN = "X-Not-Executed"
TARGET = "X-Instance-Id"
VERSION = "X-Weight-Versions"
# Present on every answer of a target that leaves.
LEAVING = "Server-Leaving"
# Running, waiting and slots, separated by commas.
LOAD = "X-Server-Load"

# Set by the system alone; whatever a client sends under these names is dropped.
SYSTEM = frozenset(
    name.lower()
    for name in (
        CUSTOMER,
        EXPECTED_TARGET,
        EXPECTED_VERSION,
        PRIORITY,
        SALT,
        FETCH_FROM,
        SAVE_TO,
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
    )
)
# Of a request; the body is sent whole with its own length.
NOT_FORWARDED = (
    HOP_BY_HOP
    | SYSTEM
    | {
        CREDENTIAL.lower(),
        DEADLINE_MS.lower(),
        RESUME_AFTER.lower(),
        "content-length",
        "host",
        "expect",
    }
)
# Of an answer.
NOT_RETURNED = HOP_BY_HOP | {"content-length"}
