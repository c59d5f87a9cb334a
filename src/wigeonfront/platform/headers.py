"""Names of the headers that the platform's callers and targets use.

The names are those of the platform's protocol. Where a name misleads, its docstring
says how the header is to be understood.
"""

ATTEMPT_ID = "Wigeonfront-Attempt-Id"
"""Id of one attempt of a client, of a Lot or of a sample."""

DEADLINE_MS = "Wigeonfront-Deadline-Ms"
EXPECT_INSTANCE = "Wigeonfront-Expect-Instance"
"""Id of the target that a request is meant for. Another target answers 421."""

NOT_EXECUTED = "Wigeonfront-Not-Executed"
"""Present on a refusal that says that the request did not run."""

SEAL = "Wigeonfront-Server-Seal"
"""Present on each answer that a target itself gives. On the answer to a reward call its
value is the score."""

VERSION = "Wigeonfront-Weight-Versions"
"""Version of the weights at the start of the answer: one number, despite the plural."""

VERSION_FIELD = b"wigeonfront-weight-versions:"
"""Name, in lower case, of the first line of an event from which on another version of
the weights generates the answer."""

MODEL = "Wigeonfront-Model"
LENGTH_HINT = "Wigeonfront-Length-Hint"
TOKEN_COUNTS = "Wigeonfront-Token-Counts"
PROMPT_PREFIX = "Wigeonfront-Prompt-Prefix"
PRIORITY = "Wigeonfront-Request-Priority"
TENANT = "Wigeonfront-Tenant"
"""Client account that a request is made for. Only the system sets this header."""

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
"""Headers that apply to one connection only, in lower case."""

FRAMING = frozenset(("content-length", "host"))
"""Headers that are set anew for each connection, in lower case."""
