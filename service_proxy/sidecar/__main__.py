"""Command line of the sidecar: check, write, show, compare, migrate, run and try out descriptions.

    python -m service_proxy.sidecar check FILE... [--environment NAME] [--json | --sarif]
    python -m service_proxy.sidecar write FILE -o DIR [--environment NAME] [--force]
    python -m service_proxy.sidecar show FILE [--environment NAME]   each effective value and its origin
    python -m service_proxy.sidecar diff OLD NEW    effects of a change on each class and tier
    python -m service_proxy.sidecar schema             JSON Schema of a description
    python -m service_proxy.sidecar explain CODE       the meaning of a finding's code
    python -m service_proxy.sidecar migrate FILE... [--in-place] to the latest format; comments and order stay
    python -m service_proxy.sidecar run FILE [--host NAME] [--tier NAME] [--environment NAME]
    python -m service_proxy.sidecar try FILE [--seconds S] [--rate N]  all sidecars here, with stand-ins

Several files are checked alone and as one fleet. Exit code 0: no errors (there may be warnings); 1: findings;
2: a file can't be read, or the command line is invalid.
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
EXIT_UNREADABLE = 2  # a file can't be read, or the command line is invalid


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return the exit code."""
    arguments = create_parser().parse_args(argv)
    command: Callable[[argparse.Namespace], int] = arguments.run_command
    return command(arguments)


def create_parser() -> argparse.ArgumentParser:
    """Return the argument parser; each command sets `run_command`."""
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
        "--environment", default="", metavar="NAME", help="apply NAME's overlay to each file"
    )
    output_format = check_parser.add_mutually_exclusive_group()
    output_format.add_argument("--json", action="store_true")
    output_format.add_argument("--sarif", action="store_true")
    check_parser.set_defaults(run_command=_check)
    show_parser = commands.add_parser("show", help="show each effective value and its origin")
    show_parser.add_argument("files", nargs=1, metavar="FILE")
    show_parser.add_argument("--environment", default="", metavar="NAME")
    show_parser.set_defaults(run_command=_read)
    diff_parser = commands.add_parser("diff", help="show the effects of a change on each class and tier")
    diff_parser.add_argument("files", nargs=2, metavar="FILE")
    diff_parser.add_argument("--environment", default="", metavar="NAME")
    diff_parser.set_defaults(run_command=_read)
    schema_parser = commands.add_parser("schema", help="print the JSON Schema of a description")
    schema_parser.set_defaults(run_command=_schema)
    explain_parser = commands.add_parser("explain", help="explain the code of a finding")
    explain_parser.add_argument("code", metavar="CODE")
    explain_parser.set_defaults(run_command=_explain)


def _add_writing_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    write_parser = commands.add_parser(
        "write", help="write the files of each sidecar if the description passes check"
    )
    write_parser.add_argument("files", nargs=1, metavar="FILE")
    write_parser.add_argument("-o", dest="folder", type=Path, required=True, metavar="DIR")
    write_parser.add_argument("--environment", default="", metavar="NAME")
    write_parser.add_argument(
        "--force", action="store_true", help="also replace files that were edited by hand"
    )
    write_parser.set_defaults(run_command=_write)
    migrate_parser = commands.add_parser(
        "migrate", help="convert files of an older format to the current one"
    )
    migrate_parser.add_argument("files", nargs="+", metavar="FILE")
    migrate_parser.add_argument(
        "--in-place", action="store_true", help="rewrite each file instead of printing the result"
    )
    migrate_parser.set_defaults(run_command=_migrate)


def _add_running_commands(commands: argparse._SubParsersAction[argparse.ArgumentParser]) -> None:
    run_parser = commands.add_parser("run", help="run a sidecar until SIGTERM")
    run_parser.add_argument("file", metavar="FILE")
    run_parser.add_argument(
        "--host", default="", metavar="NAME", help="host of the [[sidecar]]; default: this machine's"
    )
    run_parser.add_argument("--tier", default="", metavar="NAME")
    run_parser.add_argument("--environment", default="", metavar="NAME")
    run_parser.set_defaults(run_command=_run)
    try_parser = commands.add_parser(
        "try", help="run all sidecars here, with embedded stand-ins and requests"
    )
    try_parser.add_argument("file", metavar="FILE")
    try_parser.add_argument("--environment", default="", metavar="NAME")
    try_parser.add_argument("--seconds", type=float, default=10.0)
    try_parser.add_argument("--rate", type=float, default=40.0, help="requests per second")
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
        print(f"unknown code {arguments.code}; known codes are {', '.join(CODES)}", file=sys.stderr)
        return EXIT_UNREADABLE
    suffix = " (warning)" if code.is_warning else ""
    print(f"{name}: {code.title}{suffix}\n\n{code.explanation}")
    return EXIT_OK


def _schema(_: argparse.Namespace) -> int:
    print(json.dumps(explain.schema(), indent=1))
    return EXIT_OK


def _run(arguments: argparse.Namespace) -> int:
    from service_proxy.sidecar.running import run  # only this command needs the event loop

    return run(arguments)


def _read(arguments: argparse.Namespace) -> int:
    """Run `show` or `diff`.

    Descriptions that break a rule are accepted too, because these commands help to find the cause.
    """
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
    for path, value in explain.effective_values(description):
        origin = layers.origins.get(path)
        source = f"{origin.file}:{origin.place.line}" if origin is not None else "default"
        shown = ", ".join(value) if isinstance(value, tuple) else value
        print(f"{'.'.join(path)} = {shown}  # {source}")
    return EXIT_OK


def _migrate(arguments: argparse.Namespace) -> int:
    """Migrate all files or none: if one file can't be migrated, no file is changed."""
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
    """Replace this process by the harness's trial; its stand-ins are part of a source checkout only."""
    problems = [
        problem for problem in check([arguments.file], arguments.environment) if not problem.is_warning
    ]
    if problems:
        sys.stdout.write(report.as_text(problems))
        return exit_code_of(problems)
    if importlib.util.find_spec("harness") is None:
        print("try needs the folder harness of a source checkout: run it from there", file=sys.stderr)
        return EXIT_UNREADABLE
    command = [sys.executable, "-m", "harness.trial", arguments.file, "--environment", arguments.environment]
    command += ["--seconds", str(arguments.seconds), "--rate", str(arguments.rate)]
    return os.execv(sys.executable, command)


def _write(arguments: argparse.Namespace) -> int:
    """Write the files of a description if it passes the check, which reads the current file again."""
    problems = check(arguments.files, arguments.environment)
    sys.stdout.write(report.as_text(problems))
    code = exit_code_of(problems)
    if code:
        return code
    _, description = load(arguments.files[0], arguments.environment)
    if description is None:
        print(f"{arguments.files[0]} changed while it was read; run the command again", file=sys.stderr)
        return EXIT_UNREADABLE
    try:
        folder_problems = write(description, arguments.folder, arguments.force)
    except OSError as error:
        print(f"{arguments.folder}: nothing was written: {error.strerror}", file=sys.stderr)
        return EXIT_UNREADABLE
    sys.stdout.write(report.as_text(folder_problems))
    return exit_code_of(folder_problems)


if __name__ == "__main__":
    sys.exit(main())
