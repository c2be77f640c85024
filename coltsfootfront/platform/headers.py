"""Names of the HTTP headers of the platform's callers, targets and store."""

from coltsfootfront.calls.headers import HOP_BY_HOP

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"
AUTHORIZATION = "Authorization"
AUTHORIZATION_SCHEME = "token "
MODEL = "X-Model"
# Number of prompt tokens and largest number of output tokens, separated by a comma.
TOKEN_USAGE = "X-Token-Usage"
# Parts of the prompt in order, as comma-separated ID:TOKENS pairs.
PROMPT_PARTS = "X-Prompt-Prefix"
RESUME_AFTER = "Last-Event-Id"
# Id of the caller's request that brought the first event of the stream that it takes up.
RESUMES = "Resumes"
RETRY_AFTER = "Retry-After"
# Signature with which a target authenticates its response.
SIGNATURE = "X-Response-Signature"

CUSTOMER = "X-Tenant"
EXPECTED_TARGET = "X-Expect-Instance"
EXPECTED_WEIGHTS_VERSION = "X-Expect-Version"
PRIORITY = "X-Request-Priority"
CACHE_SALT = "X-Cache-Salt"
FETCH_FROM = "X-Kv-Fetch"
SAVE_TO = "X-Kv-Save"

NOT_EXECUTED = "X-Not-Executed"
TARGET = "X-Instance-Id"
WEIGHTS_VERSION = "X-Weight-Versions"
# Present on every response of a target that is draining.
DRAINING = "Server-Leaving"
# Number of running requests, of waiting requests and of slots, separated by commas.
LOAD = "X-Server-Load"
# Requests per second that the target accepts from all routers together, as a decimal number.
LIMIT = "Server-Limit"
# On every response of the store; rises by one each time that it is restored from an older copy.
STORE_ERA = "Store-Era"

# Headers that a target sends once at most in the head of a response.
SINGLE = (REQUEST_ID, SIGNATURE, NOT_EXECUTED, TARGET, WEIGHTS_VERSION, LOAD)

# Set by the router alone; these headers are dropped from callers' requests.
RESERVED = frozenset(
    name.lower()
    for name in (
        CUSTOMER,
        EXPECTED_TARGET,
        EXPECTED_WEIGHTS_VERSION,
        PRIORITY,
        CACHE_SALT,
        FETCH_FROM,
        SAVE_TO,
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
    )
)
# Request headers that are not sent on to a target. The body is read whole and sent with a length
# of its own.
NOT_FORWARDED = (
    HOP_BY_HOP
    | RESERVED
    | {
        AUTHORIZATION.lower(),
        DEADLINE_MS.lower(),
        RESUME_AFTER.lower(),
        "content-length",
        "host",
        "expect",
    }
)
# Response headers of a target that are not sent on to the caller.
NOT_RETURNED = HOP_BY_HOP | {"content-length"}
