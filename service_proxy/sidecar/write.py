"""Writer of a description's files: units, and the configuration of plain proxies.

Each sidecar has a unit. Each tier that it calls has the platform's JSON, the operator's file and a unit, for
installations that run a plain proxy per tier instead of the sidecar.

The same input produces the same bytes. The folder is replaced atomically: a new folder is created beside the
old one and renamed. A file that was edited by hand (its digest differs), a file that this tool did not write
and a link are refused unless the write is forced. After a forced write the old folder stays beside the new
one.
"""

from __future__ import annotations

import hashlib
import json
import os
import shutil
import tempfile
from dataclasses import replace
from pathlib import Path
from typing import Any

from service_proxy.operator_file.reader import Problem
from service_proxy.sidecar.model import ClassDescription, Description, Features, Route, Sidecar, Tier
from service_proxy.sidecar.toml import format_table

DIGEST_KEY = "written"
# The tool's old name stays in the first line of files: earlier versions recognize their files by this name.
WRITTEN_BY = "granitepoint.sidecar"
DIGEST_HEAD = f"# written by {WRITTEN_BY}, sha256 ".encode()
IDEMPOTENCY_BY_EFFECT = {"repeatable": "repeatable", "by-key": "by_key", "once": "once"}
# The route determines the treatment of a request. The class determines its form (method, key).
IDEMPOTENCY_BY_RETRY = {"never": "once", "never-ran": "once", "by-key": "by_key", "always": "repeatable"}
CONNECT_TIMEOUT_S = 0.25
IDLE_TIMEOUT_S = 15.0
QUANTUM_S = 0.005
MAX_OPEN_REQUESTS = 4000  # maximum number of open requests of one listener
REPORTS = {"probe": "on_probe", "answer": "inline", "none": "off"}


def files(description: Description) -> dict[str, bytes]:
    """Return the content of all files to write, by relative path."""
    contents: dict[str, bytes] = {}
    for sidecar in description.sidecars:
        base_path = f"{sidecar.host}/{sidecar.tier}"
        plain_units = []
        for called in sorted(sidecar.outbound):
            stem = f"{base_path}-{called}"
            plain_units.append(f"willowwing-{sidecar.tier}-{called}.service")
            contents[f"{stem}.json"] = with_json_digest(platform_config(description, sidecar, called))
            membership = description.tiers[called].membership
            operator_tables: dict[str, Any] = {}
            if membership is not None:
                operator_tables["membership"] = membership
            if description.budgets is not None:
                operator_tables["budgets"] = replace(
                    description.budgets, mark=description.budgets.mark or sidecar.tier
                )
            if operator_tables:
                contents[f"{stem}.operator.toml"] = with_head_digest(toml_tables(**operator_tables))
            contents[f"{stem}.service"] = with_head_digest(
                plain_proxy_unit(sidecar, called, stem, bool(operator_tables))
            )
        membership = description.tiers[sidecar.tier].membership
        if sidecar.registration is not None and membership is not None:
            tables = toml_tables(membership=membership, registration=sidecar.registration)
            contents[f"{base_path}.operator.toml"] = with_head_digest(tables)
        contents[f"{base_path}.service"] = with_head_digest(sidecar_unit(description, sidecar, plain_units))
    return dict(sorted(contents.items()))


def balancer_number(description: Description, sidecar: Sidecar, called: str) -> tuple[int, int]:
    """Return the index of the sidecar among those that call the tier, and the number of these sidecars."""
    callers = [candidate for candidate in description.sidecars if called in candidate.outbound]
    return callers.index(sidecar), len(callers)


def toml_tables(**tables: Any) -> bytes:
    """Return tables as TOML."""
    lines = [line for name, value in tables.items() for line in format_table(value, f"[{name}]")]
    return "\n".join(lines).encode()


def platform_config(description: Description, sidecar: Sidecar, called: str) -> dict[str, Any]:
    """Return the platform's configuration (DEPLOY) of the sidecar's proxy for one tier."""
    tier = description.tiers[called]
    names = [name for name in tier.classes if name in description.classes]
    routes = {name: description.routes.get(name, Route()) for name in names}
    return {
        "name": f"{sidecar.host}-{sidecar.tier}-{called}",
        "listen": sidecar.outbound[called],
        "discovery": description.padron(called),
        "seed": hashlib.sha256(f"{sidecar.host} {sidecar.tier} {called}".encode()).hexdigest()[:16],
        "forms": {name: IDEMPOTENCY_BY_EFFECT[description.classes[name].effect] for name in names},
        "limits": {"memory_mb": sidecar.memory_mb, "sockets": sidecar.sockets},
        "settings": _platform_settings(description, sidecar, called, routes),
    }


def _platform_settings(
    description: Description, sidecar: Sidecar, called: str, routes: dict[str, Route]
) -> dict[str, Any]:
    """Return the `settings` of the platform's configuration."""
    tier = description.tiers[called]
    tier_names = list(description.tiers)
    number, sidecars = balancer_number(description, sidecar, called)
    features = description.features
    max_attempts = max((route.attempts for route in routes.values()), default=1)
    return {
        "balancers": sidecars,
        "me": number,
        "stage": tier_names.index(called),
        "stages": tier_names,
        "zone": sidecar.zone,
        "dcs": list(tier.zones),
        "discovery": "ask",
        "quantum": QUANTUM_S,
        "grades": [_grade(name, description.classes[name], route) for name, route in routes.items()],
        "tenants": [
            {"name": name, "quota_rps": tenant.quota_per_s, "portion": tenant.share}
            for name, tenant in description.tenants.items()
        ],
        "report": {"names": ["busy_reqs", "pending"], "via": REPORTS[features.load_reports]},
        "policy_limits": _policy_limits(features, max_attempts),
        "contract": _contract(tier),
    }


def _grade(name: str, cls: ClassDescription, route: Route) -> dict[str, Any]:
    """Return one entry of the settings' `grades`: a class with the treatment that its route defines."""
    effect = IDEMPOTENCY_BY_RETRY[route.retry]
    grade: dict[str, Any] = {
        "name": name,
        "value": cls.worth,
        "objective": cls.aim,
        "deadline": cls.deadline,
        "effect": effect,
    }
    grade["attempts"] = 1 if route.retry == "never" else route.attempts
    if effect == "by_key":
        grade |= {"group": route.retry_within, "window": min(route.retry_for, cls.window)}
    return grade


def _policy_limits(features: Features, max_attempts: int) -> dict[str, Any]:
    return {
        "send_cap": max_attempts,
        "may_duplicate": False,
        "may_cancel": features.cancel,
        "probes": features.probes,
        "most_held": MAX_OPEN_REQUESTS,
        "conn_idle": IDLE_TIMEOUT_S,
        "connect_timeout": CONNECT_TIMEOUT_S,
        "retry_after": features.retry_after,
        "max_retry_after": 2.0,
    }


def _contract(tier: Tier) -> dict[str, Any]:
    return {
        "must_ask_in": 10.0,
        "grace_to_answer": 0.02,
        "drain_grace": tier.drain,
        "cold_from": tier.cold_from,
        "cold": tier.cold_for,
        "fall_multiple": tier.push,
        "overload_for": 3.0,
    }


def canonical_json(body: dict[str, Any]) -> bytes:
    """Return JSON in the canonical form for which digests are computed."""
    return json.dumps(body, indent=1, ensure_ascii=False).encode()


def with_json_digest(body: dict[str, Any]) -> bytes:
    """Return JSON whose first key is a digest of the remaining content."""
    digest_entry = {"by": WRITTEN_BY, "sha256": hashlib.sha256(canonical_json(body)).hexdigest()}
    return canonical_json({DIGEST_KEY: digest_entry, **body}) + b"\n"


def with_head_digest(body: bytes) -> bytes:
    """Return a file with its digest in a comment on the first line."""
    return DIGEST_HEAD + b"%s\n%s" % (digest(body), body)


def digest(body: bytes) -> bytes:
    """Return the SHA-256 digest of a body as hexadecimal digits."""
    return hashlib.sha256(body).hexdigest().encode()


def _format_unit(sidecar: Sidecar, title: str, unit_lines: str, command: str, stop_after: float) -> bytes:
    """Return a systemd unit (systemd.service(5)); the tool does not install it."""
    return (
        f"[Unit]\nDescription=willowwing {title}\nAfter=network.target\n{unit_lines}\n"
        f"[Service]\n{command}"
        "ExecReload=/bin/kill -HUP $MAINPID\n"
        "Restart=always\nRestartSec=1\nKillSignal=SIGTERM\n"
        f"TimeoutStopSec={stop_after:g}\nLimitNOFILE={sidecar.sockets}\nMemoryMax={sidecar.memory_mb}M\n\n"
        "[Install]\nWantedBy=multi-user.target\n"
    ).encode()


def plain_proxy_unit(sidecar: Sidecar, called: str, stem: str, has_operator_file: bool) -> bytes:
    """Return the unit of a plain proxy for one tier."""
    operator_option = f" --operator /etc/willowwing/{stem}.operator.toml" if has_operator_file else ""
    command = (
        f"Environment=EDGE_CONFIG=/etc/willowwing/{stem}.json\n"
        f"ExecStart=/opt/willowwing/.venv/bin/python -m service_proxy{operator_option}\n"
    )
    return _format_unit(
        sidecar, f"proxy of {sidecar.tier} on {sidecar.host}, towards {called}", "", command, 5.0
    )


def sidecar_unit(description: Description, sidecar: Sidecar, plain_units: list[str]) -> bytes:
    """Return the unit of the sidecar as one process.

    The unit conflicts with those of the plain proxies, because the sidecar listens on their ports.
    """
    command = (
        "ExecStart=/opt/willowwing/.venv/bin/python -m service_proxy.sidecar run "
        f"/etc/willowwing/{description.top.application}.toml --host {sidecar.host} --tier {sidecar.tier}\n"
    )
    conflicts = f"Conflicts={' '.join(plain_units)}\n" if plain_units else ""
    title = f"sidecar of {sidecar.tier} on {sidecar.host}"
    return _format_unit(sidecar, title, conflicts, command, description.tiers[sidecar.tier].stop_after)


def has_digest(content: bytes, name: str) -> bool:
    """Return whether a file has a digest of this tool, valid or not."""
    if name.endswith(".json"):
        try:
            return DIGEST_KEY in json.loads(content)
        except (ValueError, TypeError, RecursionError):
            return False
    return content.startswith(DIGEST_HEAD)


def was_edited(content: bytes, name: str) -> bool:
    """Return whether a file's digest is missing or does not match its content."""
    if name.endswith(".json"):
        try:
            body = json.loads(content)
            digest_entry = body.pop(DIGEST_KEY)
            return bool(digest_entry["sha256"] != hashlib.sha256(canonical_json(body)).hexdigest())
        except (ValueError, KeyError, TypeError, AttributeError):
            return True
    head, _, body = content.partition(b"\n")
    return not head.startswith(DIGEST_HEAD) or head.split()[-1] != digest(body)


def find_edited_files(folder: Path) -> list[Problem]:
    """Return a problem for each file in the folder whose changes would be lost if it were overwritten."""
    if folder.is_symlink() or (folder.exists() and not folder.is_dir()):
        return [
            Problem(
                str(folder),
                1,
                "C008",
                "is a link, or not a folder",
                "name a folder, or a path where one can be created",
            )
        ]
    problems = []
    for path in sorted(folder.rglob("*")) if folder.exists() else ():
        if path.is_symlink():
            problems.append(
                Problem(
                    str(path), 1, "C008", "is a link, which may point outside the folder", "remove the link"
                )
            )
        elif path.is_file() and was_edited(path.read_bytes(), path.name):
            text = "was edited by hand, or not written by this tool"
            problems.append(
                Problem(str(path), 1, "C008", text, "put the change into the description, or use --force")
            )
    return problems


def replace_file(path: Path, content: bytes) -> None:
    """Replace a file atomically; a link is followed. Raises OSError."""
    path = path.resolve(strict=True)
    mode = path.stat().st_mode
    descriptor, name = tempfile.mkstemp(prefix=f".{path.name}.", dir=path.parent)
    try:
        with os.fdopen(descriptor, "wb") as sink:
            sink.write(content)
            sink.flush()
            os.fsync(sink.fileno())
        os.chmod(name, mode & 0o777)
        os.replace(name, path)
    except BaseException:
        Path(name).unlink(missing_ok=True)
        raise


def write(description: Description, folder: Path, force: bool = False) -> list[Problem]:
    """Replace the folder atomically, and return the problems that prevent it.

    Raises OSError; then nothing has changed.
    """
    problems = find_edited_files(folder)
    if problems and (not force or folder.is_symlink() or not folder.is_dir()):
        return problems
    folder.parent.mkdir(parents=True, exist_ok=True)
    new_folder = Path(tempfile.mkdtemp(prefix=f".{folder.name}.new-", dir=folder.parent))
    try:
        for name, content in files(description).items():
            path = new_folder / name
            path.parent.mkdir(parents=True, exist_ok=True)
            with path.open("wb") as sink:
                sink.write(content)
                sink.flush()
                os.fsync(sink.fileno())
        new_folder.chmod(0o755)
        old_folder = folder.with_name(f".{folder.name}.old")
        if folder.exists():
            shutil.rmtree(old_folder, ignore_errors=True)
            folder.rename(old_folder)
        try:
            new_folder.rename(folder)
        except OSError:
            if old_folder.exists() and not folder.exists():
                old_folder.rename(folder)
            raise
        if not problems:
            shutil.rmtree(old_folder, ignore_errors=True)
    except BaseException:
        shutil.rmtree(new_folder, ignore_errors=True)
        raise
    return []
