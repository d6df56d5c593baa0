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

MOST_ID = 64  # characters
MOST_BUDGET = 3_600_000  # ms
ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")
FIELD = re.compile(r"[!-+\--:<-~]{1,256}")  # ASCII without space, comma, semicolon: for a header
PATH = re.compile(r"[/?][A-Za-z0-9\-._~%!$&'()*+,;=:@/?\[\]|{}]{0,2047}|")
KNOWN = frozenset(("id", "class", "budget_ms", "path", "key", "subject", "again", "body", "seen"))

REFUSED = (429, 503)


class Malformed(Exception):
    """The message is none. `id`: its id, where that could be read."""

    def __init__(self, text: str, id: str = "") -> None:
        super().__init__(text)
        self.id = id


@dataclass(frozen=True, slots=True)
class Call:
    """A message as a call. `budget`: s, None: the class's own."""

    id: str
    cls: str
    budget: float | None
    path: str
    key: str
    subject: str
    again: bool
    body: bytes
    seen: int  # outcomes up to this number have been read by the client; -1: it does not say


def read(text: str) -> Call:
    """Raises Malformed."""
    try:
        raw = json.loads(text, object_pairs_hook=_object)
    except (ValueError, RecursionError):
        raise Malformed("no JSON, or a name twice") from None
    if not isinstance(raw, dict):
        raise Malformed("not an object")
    id = raw.get("id")
    if not isinstance(id, str) or not ID.fullmatch(id):
        raise Malformed(f'"id" must be 1 to {MOST_ID} of A-Z a-z 0-9 . _ : -')
    unknown = raw.keys() - KNOWN
    if unknown:
        raise Malformed(f'"{sorted(unknown)[0]:.32}" is not known', id)
    cls = raw.get("class")
    if not isinstance(cls, str) or not cls:
        raise Malformed('"class" must be the name of a class', id)
    budget = raw.get("budget_ms")
    if budget is not None and (
        isinstance(budget, bool) or not isinstance(budget, int | float) or not 0 < budget <= MOST_BUDGET
    ):
        raise Malformed('"budget_ms" must be a number of milliseconds above 0', id)
    path = _text(raw, "path", id, PATH)
    key = _text(raw, "key", id, FIELD)
    subject = _text(raw, "subject", id, FIELD)
    body = raw.get("body", "")
    again = raw.get("again", False)
    seen = raw.get("seen", -1)
    if not isinstance(body, str):
        raise Malformed('"body" must be a string', id)
    if not isinstance(again, bool):
        raise Malformed('"again" must be true or false', id)
    if isinstance(seen, bool) or not isinstance(seen, int):
        raise Malformed('"seen" must be the number of an outcome', id)
    try:
        content = body.encode()
    except UnicodeEncodeError:
        raise Malformed('"body" holds half a character', id) from None
    seconds = None if budget is None else budget / 1e3
    return Call(id, cls, seconds, path, key, subject, again, content, seen)


def _object(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """A name that stands twice has two readings."""
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("a name twice")
    return found


def _text(raw: dict[str, object], name: str, id: str, form: re.Pattern[str]) -> str:
    value = raw.get(name, "")
    if not isinstance(value, str) or (value and not form.fullmatch(value)):
        raise Malformed(f'"{name}" is malformed or too long', id)
    return value


def _json(fields: dict[str, object]) -> str:
    return json.dumps(fields, separators=(",", ":"), ensure_ascii=False)


def hello(token: str, resumed: bool, resume_within: float, open_ids: list[str], lost: int) -> str:
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


def outcome(n: int, id: str, code: int, body: bytes, wait: float = 0.0, dropped: bool = False) -> str:
    """`wait`: s that a refused one should wait; `dropped`: its body was too long to be kept."""
    kind = "served" if code == 200 else "refused" if code in REFUSED else "failed"
    fields: dict[str, object] = {"n": n, "id": id, "outcome": kind, "code": code}
    if wait > 0:
        fields["retry_ms"] = max(1, int(wait * 1e3))
    if dropped:
        fields["body_dropped"] = True
    else:
        try:
            fields["body"] = body.decode()
        except UnicodeDecodeError:
            fields["body64"] = base64.b64encode(body).decode()
    return _json(fields)


def malformed(fault: Malformed) -> str:
    """What a message that was not taken is told. It has no number: it is no outcome."""
    return _json({"id": fault.id, "error": str(fault)})
