"""Codes of all findings, with their meaning and remedy. The operators' page is made from this one table.

C: the file itself. S: a key and its value. R: one of the four rules. F: several files checked as one fleet.
A finding whose title ends in `(warning)` is reported, and the file is accepted.
"""

from __future__ import annotations

from dataclasses import dataclass

TABLE = """
C001 can't be read
    The file doesn't exist, is not a regular file, or this user has no permission to read it.
C002 invalid syntax
    The text breaks the rules of TOML 1.0 (toml.io), or of JSON in a platform's file, at this place.
    In TOML, numbers have no leading zeros, truth values are `true` and `false` (not yes, no, on or
    off), strings are quoted, and each key is given only once, in dotted form or not.
C003 too large or too deep
    The file is larger, or its tables are nested deeper, than the program accepts. A proxy's
    configuration doesn't reach this size, so this is probably the wrong file.
C004 not UTF-8
    The file must be encoded in UTF-8 without a byte order mark.
C005 format version
    The file was written for another version of this format. `migrate` converts a file of an older
    version to the current one.
C006 invalid include
    An included file doesn't exist, is outside the description's folder, or includes itself directly
    or through other files, or the description has too many files.
C007 unknown environment variable
    A value refers to an environment variable that is not declared in `variables`, or that is not
    set.
C008 edited by hand
    The digest in the file doesn't match the file's content, because the file was changed after
    `write` created it. Put the change into the description, or overwrite the file with --force.
    `write` reports the same code for a file that it didn't create and for a link in the folder.
S101 unknown key
    The program has no setting of this name, so the value would have no effect.
S102 unknown table
    The program has no table of this name, so its settings would have no effect.
S103 key missing
    The key is required, because the setting has no safe default.
S104 wrong type
    The value has another type than the key requires. A TOML date is not a string.
S105 value not allowed
    The value is outside the range of the setting, or the program can't work with the value.
S106 time without a valid unit
    A time is a string with its unit: "500ms", "1.2s" or "2min".
S107 contradiction
    Two values of this file contradict each other, so they can't both apply.
S108 invalid name
    Names of classes, tiers and hosts consist of lowercase ASCII letters, digits, - and _, so that
    no two names look alike.
S109 restart required
    This value can't change while the proxy runs. Restart the proxy to apply the new value.
S110 number not in decimal (warning)
    The number is written in octal, binary or hexadecimal, which readers don't expect here.
R201 rule 1: exactly one answer in time
    With these values an accepted request may be answered after the client's deadline, or never.
R202 rule 2: no request is executed twice
    With these values a request may be executed twice. The request is sent again although an earlier
    attempt may have been executed: either outside the group or after the time in which repeats are
    discarded, or while an earlier attempt is still in flight. The example in the finding is the
    shortest sequence of events that breaks the rule.
R203 rule 3: no new requests to draining servers
    With these values new requests may be sent to a server more than 2 s after the proxy was
    notified that the server is draining or was removed.
R204 rule 4: cold servers are not overloaded
    With these values all proxies together may send a cold server more load than the server can
    take without failing.
F301 port used twice
    Two listeners on one host need the same address and port. 0.0.0.0 and [::] stand for all
    addresses of a host.
F302 class differs between descriptions
    Two descriptions give one class different values of `deadline`, `effect`, `group` or `window`.
    An inner tier must not allow a request more time than the outer tier has. If an inner sidecar
    may retry a request, the outer sidecar must be configured with the same `effect`.
F303 cycle of tier calls
    The calls between tiers form a cycle, so a call could return to a tier that the request has
    already passed through.
F304 more connections than a node accepts
    All sidecars that call a tier may together open more connections to each node of the tier than
    the node accepts.
F305 tenants' shares over 100%
    The shares of all tenants add up to more than 100%.
F306 unknown class or tier
    A tier, route or sidecar names a class or tier that is not described, or no tier serves this
    class.
F307 too many attempts over all tiers
    The attempts for a request multiply from tier to tier, and their product exceeds
    `attempts_over_tiers`. During an outage of the innermost tier, its load could grow by that
    factor.
F308 repeats dropped per zone with only one zone (warning)
    The nodes of each zone drop the repeats within their own zone, but the tier has only one zone.
    The setting has no effect, and hides that all nodes of the tier drop repeats together.
F309 key expires before the last retry
    An inner tier discards repeats of a request with an idempotency key for a shorter time than an
    outer tier may retry the request. Each retry calls the inner tier with the same key.
F310 tier differs between descriptions
    Two descriptions give one tier different zones, nodes, connection limits, drain times or limits
    for cold servers.
F311 two fleets with the same name
    Two operators' files give their fleets the same name, and the fleets share no member. The two
    fleets become one as soon as a member of one fleet reaches a member of the other.
F312 members of one fleet differ
    Two operators' files of the same fleet have different values of `period`, `suspicion` or
    `memory`. Each member would apply its own times to its suspicions of other members.
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
