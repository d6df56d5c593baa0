"""Codes of all findings, with their meaning and remedy. The operators' page is made from this one table.

C: the file itself. S: a key and its value. R: one of the four rules. F: several files checked as one fleet.
A finding whose title ends in `(warning)` is reported, and the file is accepted.
"""

from __future__ import annotations

from dataclasses import dataclass

TABLE = """
C001 can't be read
    The file is not there, is no file, or may not be read by this user.
C002 no TOML
    The text breaks TOML 1.0 (toml.io) at this place. Numbers have no leading zeros, truth is `true`
    or `false` (not yes, no, on, off), strings have quotes, and a key is given once, dotted or not.
C003 too large or too deep
    No configuration of a proxy has this size; it is another file.
C004 encoding
    The file is UTF-8 without a byte order mark.
C005 format version
    The file was written for another version of this format; `migrate` brings an older one up to
    date.
C006 include
    An included file is missing, leads out of the description's folder, or includes itself by a
    ring.
C007 variable
    A value names a variable of the environment that is not declared in `variables`, or that is not
    set.
C008 edited by hand
    The file's digest is not that of its content: somebody changed it after it was written. Put the
    change into the description, or write with --force.
S101 unknown key
    No part of the program reads this key, so it would do nothing.
S102 unknown table
    No part of the program reads this table.
S103 key missing
    There is no safe default for this key.
S104 wrong type
    The value is of another type than the key wants. TOML's dates are no strings.
S105 out of range
    The value can't work.
S106 no unit
    A time is a string with its unit: "500ms", "1.2s" or "2min".
S107 contradiction
    Two values of this file can't both hold.
S108 name
    Names of classes, tiers and hosts consist of lowercase ASCII letters, digits, - and _, so that
    no two names look alike.
S109 not while running
    This value can't change while the proxy runs. Restart the proxy.
S110 number's form (warning)
    The number is written in octal, binary or hexadecimal, which readers don't expect here.
R201 rule 1: exactly one answer in time
    With these values an accepted request may be answered after the client's deadline, or never.
R202 rule 2: no effect twice
    With these values a request may be executed twice. The request is sent again although an earlier
    attempt may have been executed: either outside the group or after the time in which repeats are
    discarded, or while an earlier attempt is still in flight. The example in the finding is the
    shortest sequence of events that breaks the rule.
R203 rule 3: drains are kept
    With these values new requests may be sent to a server more than 2 s after the proxy was
    notified that the server is draining or was removed.
R204 rule 4: a cold server is not pushed over
    With these values all proxies together may send a cold server more load than the server can
    take without failing.
F301 port claimed twice
    Two listeners on one host want the same address and port; 0.0.0.0 and [::] stand for all
    addresses of a host.
F302 class differs between tiers
    An inner tier gives a class more time than the outer one has, or another effect: what an inner
    sidecar may resend, the outer one must know of.
F303 tiers call in a ring
    A call would come back to a tier that it has passed.
F304 more connections than a node takes
    All sidecars that call a tier may open more connections to each of its nodes than these accept.
F305 tenants over 100%
    The tenants' shares add up to more than there is.
F306 class without a tier
    No tier serves this class, or a caller sends requests of this class to a tier that does not
    serve the class.
F307 attempts multiply
    Attempts of one tier times those of the next pass the stated bound: an outage inside would be
    hit by that many times its load.
F308 a zone's key with one zone (warning)
    Repeats are dropped by the nodes of one zone, and there is only one: the setting has no use, and
    hides that repeats are dropped by all.
F309 key forgotten too soon
    An inner tier discards repeats of a request with an idempotency key for a shorter time than an
    outer tier may retry the request. Each retry calls the inner tier with the same key.
F310 name given twice
    Two files give one name other meanings.
F311 two fleets of one name
    Two operators' files give their fleets the same name, and the fleets share no member. The two
    fleets become one as soon as a member of one fleet reaches a member of the other.
F312 members of one fleet differ
    Members of one fleet are configured with different times or different networks. Each member
    would apply its own times to its suspicions of other members.
"""


@dataclass(frozen=True, slots=True)
class FindingCode:
    """Meaning of a finding's code."""

    title: str
    explanation: str
    is_warning: bool


def _parse_table(table: str) -> dict[str, FindingCode]:
    codes: dict[str, FindingCode] = {}
    code = ""
    title = ""
    lines: list[str] = []
    for line in [*table.strip().splitlines(), ""]:
        if line.startswith(" "):
            lines.append(line.strip())
            continue
        if code:
            codes[code] = FindingCode(
                title.removesuffix(" (warning)"), " ".join(lines), title.endswith(" (warning)")
            )
        code, _, title = line.partition(" ")
        lines = []
    return codes


CODES = _parse_table(TABLE)
