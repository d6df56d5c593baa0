"""Encoding of message mode: JSON texts of one object each, documented in docs/operators/websocket.md.

This module does no I/O. A client's message is `{"id": "9b1f", "class": "read", "budget_ms": 480,
"path": "/place/7?x=1", "key": "...", "subject": "...", "again": true, "body": "...", "seen": 12}`, of which
id and class are required. A client receives first a hello, then one outcome for each accepted message.
"""

from __future__ import annotations

import base64
import json
import re
from dataclasses import dataclass

from service_proxy.net.http_status import OK, SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS
from service_proxy.websocket.errors import WebSocketError

MAX_ID_CHARACTERS = 64
MAX_BUDGET_MS = 3_600_000
MILLISECONDS = 1e3  # Milliseconds per second.
ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")
# ASCII without space, comma and semicolon, so that the text can be sent in a header field.
FIELD = re.compile(r"[!-+\--:<-~]{1,256}")
PATH = re.compile(r"[/?][A-Za-z0-9\-._~%!$&'()*+,;=:@/?\[\]|{}]{0,2047}|")
KNOWN_FIELDS = frozenset(("id", "class", "budget_ms", "path", "key", "subject", "again", "body", "seen"))
REJECTED_CODES = (TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE)
NOT_ACKNOWLEDGED = -1


class MalformedMessageError(WebSocketError):
    """Error raised for a client's message that cannot be processed; the text gives the reason.

    Attributes:
        message_id: Id of the message, or "" if the id could not be read.
    """

    def __init__(self, text: str, message_id: str = "") -> None:
        super().__init__(text)
        self.message_id = message_id


@dataclass(frozen=True, slots=True)
class ClientMessage:
    """Message of a client, which becomes a request.

    Attributes:
        time_budget: Time budget of the request, s; None stands for the deadline of the class.
        acknowledged: The client has read the outcomes up to this number; -1 if the message has no number.
    """

    message_id: str
    class_name: str
    time_budget: float | None
    path: str
    idempotency_key: str
    subject: str
    is_retry: bool
    body: bytes
    acknowledged: int


def parse_message(text: str) -> ClientMessage:
    """Parse a client's message.

    Raises:
        MalformedMessageError: The message cannot be processed.
    """
    raw, message_id = _parse_object(text)
    class_name = raw.get("class")
    if not isinstance(class_name, str) or not class_name:
        raise MalformedMessageError('"class" must be the name of a class', message_id)
    time_budget = _time_budget(raw, message_id)
    path = _text_field(raw, "path", message_id, PATH)
    idempotency_key = _text_field(raw, "key", message_id, FIELD)
    subject = _text_field(raw, "subject", message_id, FIELD)
    body = raw.get("body", "")
    is_retry = raw.get("again", False)
    acknowledged = raw.get("seen", NOT_ACKNOWLEDGED)
    if not isinstance(body, str):
        raise MalformedMessageError('"body" must be a string', message_id)
    if not isinstance(is_retry, bool):
        raise MalformedMessageError('"again" must be true or false', message_id)
    if isinstance(acknowledged, bool) or not isinstance(acknowledged, int):
        raise MalformedMessageError('"seen" must be the number of an outcome', message_id)
    try:
        content = body.encode()
    except UnicodeEncodeError:
        raise MalformedMessageError('"body" holds half a character', message_id) from None
    return ClientMessage(
        message_id, class_name, time_budget, path, idempotency_key, subject, is_retry, content, acknowledged
    )


def _parse_object(text: str) -> tuple[dict[str, object], str]:
    """Return a message's fields and id."""
    try:
        raw = json.loads(text, object_pairs_hook=_object_without_repeated_names)
    except (ValueError, RecursionError):
        raise MalformedMessageError("no JSON, or a name twice") from None
    if not isinstance(raw, dict):
        raise MalformedMessageError("not an object")
    message_id = raw.get("id")
    if not isinstance(message_id, str) or not ID.fullmatch(message_id):
        raise MalformedMessageError(f'"id" must be 1 to {MAX_ID_CHARACTERS} of A-Z a-z 0-9 . _ : -')
    unknown = raw.keys() - KNOWN_FIELDS
    if unknown:
        raise MalformedMessageError(f'"{sorted(unknown)[0]:.32}" is not known', message_id)
    return raw, message_id


def _object_without_repeated_names(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Build an object, or raise ValueError for a repeated name, because its value would be ambiguous."""
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("a name twice")
    return found


def _time_budget(raw: dict[str, object], message_id: str) -> float | None:
    budget = raw.get("budget_ms")
    if budget is None:
        return None
    is_number = isinstance(budget, int | float) and not isinstance(budget, bool)
    if not isinstance(budget, int | float) or not is_number or not 0 < budget <= MAX_BUDGET_MS:
        raise MalformedMessageError('"budget_ms" must be a number of milliseconds above 0', message_id)
    return budget / MILLISECONDS


def _text_field(raw: dict[str, object], name: str, message_id: str, pattern: re.Pattern[str]) -> str:
    value = raw.get(name, "")
    if not isinstance(value, str) or (value and not pattern.fullmatch(value)):
        raise MalformedMessageError(f'"{name}" is malformed or too long', message_id)
    return value


def _json(fields: dict[str, object]) -> str:
    return json.dumps(fields, separators=(",", ":"), ensure_ascii=False)


def encode_hello(token: str, resumed: bool, resume_within: float, open_ids: list[str], lost: int) -> str:
    """Return the first message on each connection.

    Args:
        token: Token of the session.
        resumed: Whether the session existed before this connection.
        resume_within: Time for which a detached session can be resumed, s.
        open_ids: Ids of the session's messages that have no outcome yet.
        lost: Number of outcomes that the client may not have read and that are no longer stored.
    """
    return _json(
        {
            "session": token,
            "resumed": resumed,
            "resume_ms": int(resume_within * MILLISECONDS),
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
    """Return the outcome of a message.

    Args:
        number: Number of the outcome in its session.
        message_id: Id of the message.
        status_code: Status code of the response.
        body: Body of the response.
        retry_after: Time that a rejected client should wait, s; 0 omits the field.
        is_body_dropped: Whether the body was too long to be stored.
    """
    fields: dict[str, object] = {
        "n": number,
        "id": message_id,
        "outcome": _outcome_of(status_code),
        "code": status_code,
    }
    if retry_after > 0:
        fields["retry_ms"] = max(1, int(retry_after * MILLISECONDS))
    if is_body_dropped:
        fields["body_dropped"] = True
    else:
        try:
            fields["body"] = body.decode()
        except UnicodeDecodeError:
            fields["body64"] = base64.b64encode(body).decode()
    return _json(fields)


def in_ascii(text: str) -> str:
    """Return an encoded message in ASCII; other characters are escaped."""
    return text if text.isascii() else json.dumps(json.loads(text), separators=(",", ":"))


def _outcome_of(status_code: int) -> str:
    if status_code == OK:
        return "served"
    return "refused" if status_code in REJECTED_CODES else "failed"


def encode_error(error: MalformedMessageError) -> str:
    """Return the reply to a message that was not accepted; a reply that is no outcome has no number."""
    return _json({"id": error.message_id, "error": str(error)})
