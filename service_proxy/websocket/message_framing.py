"""The messages of message mode: JSON texts, one object each. docs/operators/websocket.md is their page.

From a client: `{"id": "9b1f", "class": "read", "budget_ms": 480, "path": "/place/7?x=1", "key": "...",
"subject": "...", "again": true, "body": "...", "seen": 12}`; id and class are needed. To a client: a hello
first, then one outcome for each message taken.
"""

from __future__ import annotations

import base64
import json
import re
from dataclasses import dataclass

MAX_ID_CHARACTERS = 64  # characters
MAX_BUDGET_MS = 3_600_000  # ms
ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")
FIELD = re.compile(r"[!-+\--:<-~]{1,256}")  # ASCII without space, comma, semicolon: for a header
PATH = re.compile(r"[/?][A-Za-z0-9\-._~%!$&'()*+,;=:@/?\[\]|{}]{0,2047}|")
KNOWN = frozenset(("id", "class", "budget_ms", "path", "key", "subject", "again", "body", "seen"))

REFUSED = (429, 503)


class MalformedMessageError(Exception):
    """The message is none. `id`: its id, where that could be read."""

    def __init__(self, text: str, id: str = "") -> None:
        super().__init__(text)
        self.message_id = id


@dataclass(frozen=True, slots=True)
class ClientMessage:
    """A message as a call. `budget`: s, None: the class's own."""

    message_id: str
    class_name: str
    time_budget: float | None
    path: str
    idempotency_key: str
    subject: str
    is_retry: bool
    body: bytes
    acknowledged: int  # outcomes up to this number have been read by the client; -1: it does not say


def parse_message(text: str) -> ClientMessage:
    """Raises Malformed."""
    try:
        raw = json.loads(text, object_pairs_hook=_object)
    except (ValueError, RecursionError):
        raise MalformedMessageError("no JSON, or a name twice") from None
    if not isinstance(raw, dict):
        raise MalformedMessageError("not an object")
    id = raw.get("id")
    if not isinstance(id, str) or not ID.fullmatch(id):
        raise MalformedMessageError(f'"id" must be 1 to {MAX_ID_CHARACTERS} of A-Z a-z 0-9 . _ : -')
    unknown = raw.keys() - KNOWN
    if unknown:
        raise MalformedMessageError(f'"{sorted(unknown)[0]:.32}" is not known', id)
    cls = raw.get("class")
    if not isinstance(cls, str) or not cls:
        raise MalformedMessageError('"class" must be the name of a class', id)
    budget = raw.get("budget_ms")
    if budget is not None and (
        isinstance(budget, bool) or not isinstance(budget, int | float) or not 0 < budget <= MAX_BUDGET_MS
    ):
        raise MalformedMessageError('"budget_ms" must be a number of milliseconds above 0', id)
    path = _text(raw, "path", id, PATH)
    key = _text(raw, "key", id, FIELD)
    subject = _text(raw, "subject", id, FIELD)
    body = raw.get("body", "")
    again = raw.get("again", False)
    seen = raw.get("seen", -1)
    if not isinstance(body, str):
        raise MalformedMessageError('"body" must be a string', id)
    if not isinstance(again, bool):
        raise MalformedMessageError('"again" must be true or false', id)
    if isinstance(seen, bool) or not isinstance(seen, int):
        raise MalformedMessageError('"seen" must be the number of an outcome', id)
    try:
        content = body.encode()
    except UnicodeEncodeError:
        raise MalformedMessageError('"body" holds half a character', id) from None
    seconds = None if budget is None else budget / 1e3
    return ClientMessage(id, cls, seconds, path, key, subject, again, content, seen)


def _object(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """A name that stands twice has two readings."""
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("a name twice")
    return found


def _text(raw: dict[str, object], name: str, id: str, form: re.Pattern[str]) -> str:
    value = raw.get(name, "")
    if not isinstance(value, str) or (value and not form.fullmatch(value)):
        raise MalformedMessageError(f'"{name}" is malformed or too long', id)
    return value


def _json(fields: dict[str, object]) -> str:
    return json.dumps(fields, separators=(",", ":"), ensure_ascii=False)


def encode_hello(token: str, resumed: bool, resume_within: float, open_ids: list[str], lost: int) -> str:
    """The first message on each connection. `open_ids`: messages of the session that still have no outcome;
    `lost`: outcomes that the client may not have read and that are not kept any more."""
    return _json(
        {
            "session": token,
            "resumed": resumed,
            "resume_ms": int(resume_within * 1e3),
            "open": open_ids,
            "lost": lost,
        }
    )


def encode_outcome(
    number: int,
    message_id: str,
    status_code: int,
    body: bytes,
    retry_after: float = 0.0,
    is_body_dropped: bool = False,
) -> str:
    """`wait`: s that a refused one should wait; `dropped`: its body was too long to be kept."""
    kind = "served" if status_code == 200 else "refused" if status_code in REFUSED else "failed"
    fields: dict[str, object] = {"n": number, "id": message_id, "outcome": kind, "code": status_code}
    if retry_after > 0:
        fields["retry_ms"] = max(1, int(retry_after * 1e3))
    if is_body_dropped:
        fields["body_dropped"] = True
    else:
        try:
            fields["body"] = body.decode()
        except UnicodeDecodeError:
            fields["body64"] = base64.b64encode(body).decode()
    return _json(fields)


def encode_error(fault: MalformedMessageError) -> str:
    """What a message that was not taken is told. It has no number: it is no outcome."""
    return _json({"id": fault.message_id, "error": str(fault)})
