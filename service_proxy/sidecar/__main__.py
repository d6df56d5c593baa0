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
from collections.abc import Callable
from pathlib import Path

from service_proxy.operator_file.codes import CODES
from service_proxy.operator_file.reader import OperatorError, Problem, read_text
from service_proxy.sidecar import explain, report
from service_proxy.sidecar.checking import check, exit_code_of
from service_proxy.sidecar.description import LayeredReader, load
from service_proxy.sidecar.migrate import migrate
from service_proxy.sidecar.model import Description
from service_proxy.sidecar.write import replace_file, write

EXIT_OK = 0
EXIT_FINDINGS = 1
EXIT_UNREADABLE = 2  # a file can't be read, or the call is wrong


def main(argv: list[str] | None = None) -> int:
    """Run the command line; return the exit code."""
    arguments = create_parser().parse_args(argv)
    command: Callable[[argparse.Namespace], int] = arguments.run_command
    return command(arguments)


def create_parser() -> argparse.ArgumentParser:
    """Return the parser; each command sets `run_command`."""
    parser = argparse.ArgumentParser(
        prog="python -m service_proxy.sidecar",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True)
    _add_reading_commands(commands)
    _add_writing_commands(commands)
    _add_running_commands(commands)
    return parser


def _add_reading_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    check_parser = commands.add_parser("check", help="check descriptions, alone and as one fleet")
    check_parser.add_argument("files", nargs="+", metavar="FILE")
    check_parser.add_argument(
        "--environment", default="", metavar="NAME", help="lay NAME's overlay over each file"
    )
    form = check_parser.add_mutually_exclusive_group()
    form.add_argument("--json", action="store_true")
    form.add_argument("--sarif", action="store_true")
    check_parser.set_defaults(run_command=_check)
    show_parser = commands.add_parser("show", help="each value in force, and where it is from")
    show_parser.add_argument("files", nargs=1, metavar="FILE")
    show_parser.add_argument("--environment", default="", metavar="NAME")
    show_parser.set_defaults(run_command=_read)
    diff_parser = commands.add_parser("diff", help="what a change does to a call of each class")
    diff_parser.add_argument("files", nargs=2, metavar="FILE")
    diff_parser.add_argument("--environment", default="", metavar="NAME")
    diff_parser.set_defaults(run_command=_read)
    schema_parser = commands.add_parser("schema", help="JSON Schema of a description")
    schema_parser.set_defaults(run_command=_schema)
    explain_parser = commands.add_parser("explain", help="what a code means")
    explain_parser.add_argument("code", metavar="CODE")
    explain_parser.set_defaults(run_command=_explain)


def _add_writing_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    write_parser = commands.add_parser(
        "write", help="write the files of each sidecar; only what passes check"
    )
    write_parser.add_argument("files", nargs=1, metavar="FILE")
    write_parser.add_argument("-o", dest="folder", type=Path, required=True, metavar="DIR")
    write_parser.add_argument("--environment", default="", metavar="NAME")
    write_parser.add_argument("--force", action="store_true", help="also over files that were edited by hand")
    write_parser.set_defaults(run_command=_write)
    migrate_parser = commands.add_parser("migrate", help="bring files of an older format up to date")
    migrate_parser.add_argument("files", nargs="+", metavar="FILE")
    migrate_parser.add_argument(
        "--in-place", action="store_true", help="write each file anew; else they are shown"
    )
    migrate_parser.set_defaults(run_command=_migrate)


def _add_running_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    run_parser = commands.add_parser("run", help="the sidecar for real, until SIGTERM")
    run_parser.add_argument("file", metavar="FILE")
    run_parser.add_argument(
        "--host", default="", metavar="NAME", help="of the [[sidecar]]; else this machine's"
    )
    run_parser.add_argument("--tier", default="", metavar="NAME")
    run_parser.add_argument("--environment", default="", metavar="NAME")
    run_parser.set_defaults(run_command=_run)
    try_parser = commands.add_parser("try", help="run all sidecars here, with embedded stand-ins and calls")
    try_parser.add_argument("file", metavar="FILE")
    try_parser.add_argument("--environment", default="", metavar="NAME")
    try_parser.add_argument("--seconds", type=float, default=10.0)
    try_parser.add_argument("--rate", type=float, default=40.0, help="calls a second")
    try_parser.set_defaults(run_command=_try)


def _check(arguments: argparse.Namespace) -> int:
    problems = check(arguments.files, arguments.environment)
    if arguments.json:
        text = report.as_json(problems)
    elif arguments.sarif:
        text = report.as_sarif(problems)
    else:
        text = report.as_text(problems)
    sys.stdout.write(text)
    return exit_code_of(problems)


def _explain(arguments: argparse.Namespace) -> int:
    name = arguments.code.upper()
    code = CODES.get(name)
    if code is None:
        print(f"no code {arguments.code}; known are {', '.join(CODES)}", file=sys.stderr)
        return EXIT_UNREADABLE
    suffix = " (warning)" if code.is_warning else ""
    print(f"{name}: {code.title}{suffix}\n\n{code.explanation}")
    return EXIT_OK


def _schema(_: argparse.Namespace) -> int:
    print(json.dumps(explain.schema(), indent=1))
    return EXIT_OK


def _run(arguments: argparse.Namespace) -> int:
    from service_proxy.sidecar.running import run  # the event loop is for this command alone

    return run(arguments)


def _read(arguments: argparse.Namespace) -> int:
    """Show or compare; also descriptions that break a rule, since the question may be why."""
    loaded: list[tuple[LayeredReader, Description]] = []
    for file in arguments.files:
        try:
            layers, description = load(file, arguments.environment)
        except OperatorError as error:
            print(error, file=sys.stderr)
            return EXIT_UNREADABLE
        if description is None:
            sys.stdout.write(report.as_text(layers.problems))
            return EXIT_FINDINGS
        loaded.append((layers, description))
    if arguments.command == "diff":
        for line in explain.differences(loaded[0][1], loaded[1][1]):
            print(line)
        return EXIT_OK
    layers, description = loaded[0]
    for path, value in explain.effective(description):
        origin = layers.origins.get(path)
        source = f"{origin.file}:{origin.place.line}" if origin is not None else "default"
        shown = ", ".join(value) if isinstance(value, tuple) else value
        print(f"{'.'.join(path)} = {shown}  # {source}")
    return EXIT_OK


def _migrate(arguments: argparse.Namespace) -> int:
    """All files or none: one that can't be brought up to date leaves the others as they are."""
    changed: dict[str, str] = {}
    problems: list[Problem] = []
    for file in arguments.files:
        try:
            text, _ = read_text(file)
        except OperatorError as error:
            problems += error.problems
            continue
        changed[file], found = migrate(file, text)
        problems += found
    sys.stdout.write(report.as_text(problems))
    if problems:
        return exit_code_of(problems)
    for file, text in changed.items():
        if not arguments.in_place:
            sys.stdout.write(text)
            continue
        try:
            replace_file(Path(file), text.encode())
        except OSError as error:
            print(f"{file}: not written: {error.strerror}", file=sys.stderr)
            return EXIT_UNREADABLE
    return EXIT_OK


def _try(arguments: argparse.Namespace) -> int:
    """Run the harness's trial in place of this process: the stand-ins come with a checkout only."""
    problems = [
        problem for problem in check([arguments.file], arguments.environment) if not problem.is_warning
    ]
    if problems:
        sys.stdout.write(report.as_text(problems))
        return exit_code_of(problems)
    if importlib.util.find_spec("harness") is None:
        print("try needs the folder harness of a checkout: call it from there", file=sys.stderr)
        return EXIT_UNREADABLE
    command = [sys.executable, "-m", "harness.trial", arguments.file, "--environment", arguments.environment]
    command += ["--seconds", str(arguments.seconds), "--rate", str(arguments.rate)]
    return os.execv(sys.executable, command)


def _write(arguments: argparse.Namespace) -> int:
    """Only what passes check is written, read at this moment and not when it was checked last."""
    problems = check(arguments.files, arguments.environment)
    sys.stdout.write(report.as_text(problems))
    code = exit_code_of(problems)
    if code:
        return code
    _, description = load(arguments.files[0], arguments.environment)
    if description is None:
        print(f"{arguments.files[0]} changed while it was read; call again", file=sys.stderr)
        return EXIT_UNREADABLE
    try:
        problems_of_folder = write(description, arguments.folder, arguments.force)
    except OSError as error:
        print(f"{arguments.folder}: nothing was written: {error.strerror}", file=sys.stderr)
        return EXIT_UNREADABLE
    sys.stdout.write(report.as_text(problems_of_folder))
    return exit_code_of(problems_of_folder)


if __name__ == "__main__":
    sys.exit(main())
