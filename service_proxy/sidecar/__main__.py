"""The command: check descriptions, alone and as one fleet; write what one says; explain a code.

    python -m service_proxy.sidecar check FILE... [--environment NAME] [--json | --sarif]
    python -m service_proxy.sidecar write FILE -o DIR [--environment NAME] [--force]
    python -m service_proxy.sidecar show FILE [--environment NAME]   each value in force, and where it is from
    python -m service_proxy.sidecar diff OLD NEW    what changes for a call of each class, and for each tier
    python -m service_proxy.sidecar schema             JSON Schema of a description
    python -m service_proxy.sidecar explain CODE
    python -m service_proxy.sidecar migrate FILE... [--in-place]      to this format; comments and order stay
    python -m service_proxy.sidecar run FILE [--host NAME] [--tier NAME] [--environment NAME]
    python -m service_proxy.sidecar try FILE [--seconds S] [--rate N]  all of it here, with embedded stand-ins

Exit code 0: nothing wrong (warnings may be); 1: findings; 2: a file can't be read, or the call is wrong.
"""

from __future__ import annotations

import argparse
import importlib.util
import json
import os
import sys
from pathlib import Path

from service_proxy.operator_file.codes import CODES
from service_proxy.operator_file.reader import OperatorError, Problem, read_text
from service_proxy.sidecar import explain, report
from service_proxy.sidecar.checking import check, code_of
from service_proxy.sidecar.description import Layers, load
from service_proxy.sidecar.migrate import migrate
from service_proxy.sidecar.model import Description
from service_proxy.sidecar.write import replace_file, write


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy.sidecar",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    checking = commands.add_parser("check", help="check descriptions, alone and as one fleet")
    checking.add_argument("files", nargs="+", metavar="FILE")
    checking.add_argument(
        "--environment", default="", metavar="NAME", help="lay NAME's overlay over each file"
    )
    form = checking.add_mutually_exclusive_group()
    form.add_argument("--json", action="store_true")
    form.add_argument("--sarif", action="store_true")
    writing = commands.add_parser("write", help="write the files of each sidecar; only what passes check")
    writing.add_argument("files", nargs=1, metavar="FILE")
    writing.add_argument("-o", dest="folder", type=Path, required=True, metavar="DIR")
    writing.add_argument("--environment", default="", metavar="NAME")
    writing.add_argument("--force", action="store_true", help="also over files that were edited by hand")
    showing = commands.add_parser("show", help="each value in force, and where it is from")
    showing.add_argument("files", nargs=1, metavar="FILE")
    showing.add_argument("--environment", default="", metavar="NAME")
    differing = commands.add_parser("diff", help="what a change does to a call of each class")
    differing.add_argument("files", nargs=2, metavar="FILE")
    differing.add_argument("--environment", default="", metavar="NAME")
    commands.add_parser("schema", help="JSON Schema of a description")
    explaining = commands.add_parser("explain", help="what a code means")
    explaining.add_argument("code", metavar="CODE")
    moving = commands.add_parser("migrate", help="bring files of an older format up to date")
    moving.add_argument("files", nargs="+", metavar="FILE")
    moving.add_argument("--in-place", action="store_true", help="write each file anew; else they are shown")
    running = commands.add_parser("run", help="the sidecar for real, until SIGTERM")
    running.add_argument("file", metavar="FILE")
    running.add_argument("--host", default="", metavar="NAME", help="of the [[sidecar]]; else this machine's")
    running.add_argument("--tier", default="", metavar="NAME")
    running.add_argument("--environment", default="", metavar="NAME")
    trying = commands.add_parser("try", help="run all sidecars here, with embedded stand-ins and calls")
    trying.add_argument("file", metavar="FILE")
    trying.add_argument("--environment", default="", metavar="NAME")
    trying.add_argument("--seconds", type=float, default=10.0)
    trying.add_argument("--rate", type=float, default=40.0, help="calls a second")
    wanted = parser.parse_args(argv)
    if wanted.command == "run":
        from service_proxy.sidecar.running import run

        return run(wanted)
    if wanted.command == "try":
        return _try(wanted)
    if wanted.command == "migrate":
        return _migrate(wanted)
    if wanted.command == "explain":
        code = CODES.get(wanted.code.upper())
        if code is None:
            print(f"no code {wanted.code}; known are {', '.join(CODES)}", file=sys.stderr)
            return 2
        suffix = " (warning)" if code.is_warning else ""
        print(f"{wanted.code.upper()}: {code.title}{suffix}\n\n{code.explanation}")
        return 0
    if wanted.command == "schema":
        print(json.dumps(explain.schema(), indent=1))
        return 0
    if wanted.command in ("show", "diff"):
        return _read(wanted)
    problems = check(wanted.files, wanted.environment)
    if wanted.command == "write":
        return _write(wanted, problems)
    form_of = report.as_json if wanted.json else report.as_sarif if wanted.sarif else report.as_text
    sys.stdout.write(form_of(problems))
    return code_of(problems)


def _read(wanted: argparse.Namespace) -> int:
    """show and diff: also of descriptions that break a rule, since the question may be why."""
    read: list[tuple[Layers, Description]] = []
    for file in wanted.files:
        try:
            layers, description = load(file, wanted.environment)
        except OperatorError as fault:
            print(fault, file=sys.stderr)
            return 2
        if description is None:
            sys.stdout.write(report.as_text(layers.problems))
            return 1
        read.append((layers, description))
    if wanted.command == "diff":
        for line in explain.differences(read[0][1], read[1][1]):
            print(line)
        return 0
    layers, description = read[0]
    for path, value in explain.effective(description):
        origin = layers.origins.get(path)
        source = f"{origin.file}:{origin.place.line}" if origin is not None else "default"
        shown = ", ".join(value) if isinstance(value, tuple) else value
        print(f"{'.'.join(path)} = {shown}  # {source}")
    return 0


def _migrate(wanted: argparse.Namespace) -> int:
    """All files or none: one that can't be brought up to date leaves the others as they are."""
    changed: dict[str, str] = {}
    problems: list[Problem] = []
    for file in wanted.files:
        try:
            text, _ = read_text(file)
        except OperatorError as fault:
            problems += fault.problems
            continue
        changed[file], found = migrate(file, text)
        problems += found
    sys.stdout.write(report.as_text(problems))
    if problems:
        return code_of(problems)
    for file, text in changed.items():
        if not wanted.in_place:
            sys.stdout.write(text)
            continue
        try:
            replace_file(Path(file), text.encode())
        except OSError as fault:
            print(f"{file}: not written: {fault.strerror}", file=sys.stderr)
            return 2
    return 0


def _try(wanted: argparse.Namespace) -> int:
    """The stand-ins are no part of the program: they come with its checkout, and run as a program of their
    own."""
    problems = [problem for problem in check([wanted.file], wanted.environment) if not problem.is_warning]
    if problems:
        sys.stdout.write(report.as_text(problems))
        return code_of(problems)
    if importlib.util.find_spec("harness") is None:
        print("try needs the folder harness of a checkout: call it from there", file=sys.stderr)
        return 2
    command = [sys.executable, "-m", "harness.trial", wanted.file, "--environment", wanted.environment]
    command += ["--seconds", str(wanted.seconds), "--rate", str(wanted.rate)]
    os.execv(sys.executable, command)


def _write(wanted: argparse.Namespace, problems: list[Problem]) -> int:
    """Only what passes check is written, read at this moment and not when it was checked last."""
    sys.stdout.write(report.as_text(problems))
    code = code_of(problems)
    if code:
        return code
    _, description = load(wanted.files[0], wanted.environment)
    if description is None:
        print(f"{wanted.files[0]} changed while it was read; call again", file=sys.stderr)
        return 2
    try:
        refused = write(description, wanted.folder, wanted.force)
    except OSError as fault:
        print(f"{wanted.folder}: nothing was written: {fault.strerror}", file=sys.stderr)
        return 2
    sys.stdout.write(report.as_text(refused))
    return code_of(refused)


if __name__ == "__main__":
    sys.exit(main())
