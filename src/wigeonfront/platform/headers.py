"""Names of the headers that the platform's callers and targets use."""

ATTEMPT_ID = "Wigeonfront-Attempt-Id"
"""Of one attempt of a client; also the id of a Lot or of a sample."""

DEADLINE_MS = "Wigeonfront-Deadline-Ms"
EXPECT_INSTANCE = "Wigeonfront-Expect-Instance"
NOT_EXECUTED = "Wigeonfront-Not-Executed"
SEAL = "Wigeonfront-Server-Seal"
VERSION = "Wigeonfront-Weight-Versions"
"""In spite of the plural one number: the version as the answer begins."""

VERSION_LINE = b"wigeonfront-weight-versions:"
"""First line of an event from which on another version answers."""

MODEL = "Wigeonfront-Model"
LENGTH_HINT = "Wigeonfront-Length-Hint"
TOKEN_COUNTS = "Wigeonfront-Token-Counts"
PROMPT_PREFIX = "Wigeonfront-Prompt-Prefix"
PRIORITY = "Wigeonfront-Request-Priority"
TENANT = "Wigeonfront-Tenant"
"""The client account that a request is made for; only the system says it."""

AUTHORIZATION = "Authorization"
DUTY_HOLDER = "Wigeonfront-Duty-Holder"
FENCING_TOKEN = "Wigeonfront-Fencing-Token"
WAIT_MS = "Wigeonfront-Wait-Ms"
LAST_EVENT_ID = "Last-Event-Id"

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    )
)
"""Headers that concern one connection only, in lower case."""

FRAMING = frozenset(("content-length", "host"))
"""Headers that are written anew for each connection, in lower case."""
