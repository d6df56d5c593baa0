"""Changes to a valid description: mutations that break one of the four rules, and edits without effect.

A mutation sets one value so that the description breaks a rule by construction. The values before and after
the mutation prove the violation, so that the proof doesn't depend on the checker.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from service_proxy.sidecar.model import Description

# Share of the retried unsafe classes that get retry = "always". The other classes get "by-key".
ALWAYS_SHARE = 0.5
MAX_RETRY_FOR_MS = 9000
MIN_WINDOW_S = 0.05
WINDOW_MARGIN_S = 0.02  # Shortest time between the end of the key window and the last retry.
MIN_LAST_RETRY_S = 0.1  # Earliest last retry that leaves room for a shorter key window.
STOP_MARGIN_S = 0.01  # Shortest time between the stop of a host and the deadline.
MIN_DRAIN_S = 2.01  # Rule 3 allows 2 s.
MAX_DRAIN_S = 600
MAX_EXTRA_PUSH = 20
COMMENT_CHARACTERS = "ab=\"[]{}'#"
COMMENT_LENGTH = 12
MAX_SPACES = 4

Mutate = Callable[[str, Description, Random], str | None]


def table_span(text: str, header: str) -> tuple[int, int] | None:
    """Return the start and end of a table's lines, or None if the table doesn't exist."""
    found = re.search(rf"^\[{re.escape(header)}\][^\n]*\n", text, re.M)
    if found is None:
        return None
    following = re.search(r"^\[", text[found.end() :], re.M)
    return found.end(), found.end() + following.start() if following else len(text)


def set_key(text: str, header: str, key: str, value: str) -> str | None:
    """Set a key of a table and replace its present value. A missing route table is added with the key."""
    span = table_span(text, header)
    if span is None:
        return f"{text.rstrip()}\n\n[{header}]\n{key} = {value}\n" if header.startswith("route.") else None
    begin, end = span
    body = re.sub(rf"^\s*{key}\s*=.*\n?", "", text[begin:end], flags=re.M)
    return f"{text[:begin]}{key} = {value}\n{body}{text[end:]}"


def retry_unsafe_class(text: str, description: Description, random: Random) -> str | None:
    """Break rule 2: retry a class that is not idempotent after the request may have run."""
    unsafe = [name for name, cls in description.classes.items() if cls.effect == "once"]
    name = random.choice(unsafe)
    if description.routes[name].attempts == 1:
        return None
    if random.random() < ALWAYS_SHARE:
        return set_key(text, f"route.{name}", "retry", '"always"')
    changed = set_key(text, f"route.{name}", "retry", '"by-key"')
    retry_for = f'"{random.randint(1, MAX_RETRY_FOR_MS)}ms"'
    return changed and set_key(changed, f"route.{name}", "retry_for", retry_for)


def hedge_class(text: str, description: Description, random: Random) -> str | None:
    """Break rule 2: allow two attempts in flight at the same time."""
    name = random.choice(list(description.classes))
    if description.routes[name].attempts == 1:
        return None
    return set_key(text, f"route.{name}", "hedge", "true")


def retry_outside_group(text: str, description: Description, random: Random) -> str | None:
    """Break rule 2: retry a keyed class at endpoints that don't share the deduplication of its key."""
    for name, cls in description.classes.items():
        wider_groups = {"cell": ["zone", "all"], "zone": ["all"], "all": []}[cls.group]
        if cls.effect == "by-key" and description.routes[name].retry == "by-key" and wider_groups:
            return set_key(text, f"route.{name}", "retry_within", f'"{random.choice(wider_groups)}"')
    return None


def shorten_key_window(text: str, description: Description, random: Random) -> str | None:
    """Break rule 2: retry a keyed class after the deduplication window of its key."""
    for name, cls in description.classes.items():
        route = description.routes[name]
        last_retry = min(route.retry_for, cls.deadline)
        if cls.effect == "by-key" and route.retry == "by-key" and last_retry > MIN_LAST_RETRY_S:
            window = random.uniform(MIN_WINDOW_S, last_retry - WINDOW_MARGIN_S)
            return set_key(text, f"class.{name}", "window", f'"{window:.3f}s"')
    return None


def stop_before_deadline(text: str, description: Description, random: Random) -> str | None:
    """Break rule 1: stop a host before the longest deadline of its accepted requests."""
    name = random.choice(list(description.tiers))
    longest = max(description.classes[cls].deadline for cls in description.tiers[name].classes)
    stop_after = random.uniform(0, longest - STOP_MARGIN_S)
    return set_key(text, f"tier.{name}", "stop_after", f'"{stop_after:.3f}s"')


def prolong_drain(text: str, description: Description, random: Random) -> str | None:
    """Break rule 3: send new requests for more than 2 s after the start of a drain."""
    name = random.choice(list(description.tiers))
    return set_key(text, f"tier.{name}", "drain", f'"{random.uniform(MIN_DRAIN_S, MAX_DRAIN_S):.3f}s"')


def overload_warming_endpoint(text: str, description: Description, random: Random) -> str | None:
    """Break rule 4: send a warming endpoint more requests than it survives."""
    name = random.choice(list(description.tiers))
    tier = description.tiers[name]
    if tier.cold_from == 1.0:
        return None
    push = tier.survives + random.uniform(0, MAX_EXTRA_PUSH)
    return set_key(text, f"tier.{name}", "push", f"{push:.3f}")


@dataclass(frozen=True, slots=True)
class Mutation:
    """Kind of mutation, with its name in the figures and the code that the checker must report."""

    name: str
    code: str
    # Function that returns the changed text, or None if the mutation can't be applied to the description.
    mutate: Mutate


MUTATION_KINDS = (
    Mutation("once_is_retried", "R202", retry_unsafe_class),
    Mutation("hedged", "R202", hedge_class),
    Mutation("key_leaves_its_group", "R202", retry_outside_group),
    Mutation("key_is_forgotten", "R202", shorten_key_window),
    Mutation("stopped_too_soon", "R201", stop_before_deadline),
    Mutation("drained_too_long", "R203", prolong_drain),
    Mutation("pushed_over", "R204", overload_warming_endpoint),
)


def insert_comment(lines: list[str], random: Random) -> str:
    """Insert a comment that contains brackets and quotes at a random line."""
    number = random.randint(0, len(lines))
    comment = "# " + "".join(random.choices(COMMENT_CHARACTERS, k=COMMENT_LENGTH))
    return join_lines([*lines[:number], comment, *lines[number:]])


def insert_blank_line(lines: list[str], random: Random) -> str:
    """Insert a blank line at a random position."""
    number = random.randint(0, len(lines))
    return join_lines([*lines[:number], "", *lines[number:]])


def change_spacing(lines: list[str], random: Random) -> str:
    """Change the white space around the `=` of one key, and add a comment after its value."""
    number = random.choice([n for n, line in enumerate(lines) if re.match(r"[a-z_.]+\s*=", line)])
    key, _, value = lines[number].partition("=")
    indent = " " * random.randint(0, MAX_SPACES)
    gap = " " * random.randint(0, MAX_SPACES)
    changed = f"{indent}{key.strip()}{gap}=\t{value.strip()}  # x"
    return join_lines([*lines[:number], changed, *lines[number + 1 :]])


def use_crlf(lines: list[str], _random: Random) -> str:
    """Terminate all lines with CR LF."""
    return "\r\n".join(lines) + "\r\n"


def shuffle_tables(lines: list[str], random: Random) -> str:
    """Shuffle the tables and move the arrays of tables to the end."""
    head, *tables = re.split(r"(?m)^(?=\[)", join_lines(lines))
    arrays = [part for part in tables if part.startswith("[[")]
    plain = [part for part in tables if not part.startswith("[[")]
    random.shuffle(plain)
    return head + "".join(part.rstrip("\n") + "\n\n" for part in plain + arrays)


def join_lines(lines: list[str]) -> str:
    """Return the text of the lines."""
    return "\n".join(lines) + "\n"


HARMLESS_EDITS = (insert_comment, insert_blank_line, change_spacing, use_crlf, shuffle_tables)


def edit_harmlessly(text: str, random: Random) -> str:
    """Return the text after a random edit that changes no value."""
    return random.choice(HARMLESS_EDITS)(text.splitlines(), random)
