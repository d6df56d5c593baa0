"""Output of findings: text for people, JSON for tools, and SARIF 2.1.0 (OASIS) for editors and CI. Pure."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

from service_proxy.operator_file.codes import CODES
from service_proxy.operator_file.reader import Problem

SARIF = "https://json.schemastore.org/sarif-2.1.0.json"


def as_text(problems: Iterable[Problem]) -> str:
    """Return the findings as text, in the format of compiler messages."""
    return "".join(f"{problem}\n" for problem in problems)


def as_json(problems: Iterable[Problem]) -> str:
    """Return the findings as a JSON list."""
    found = [
        {
            "file": problem.file,
            "line": problem.line,
            "column": problem.column,
            "severity": "warning" if problem.is_warning else "error",
            "code": problem.code,
            "message": problem.text,
            "help": problem.remedy,
        }
        for problem in problems
    ]
    return json.dumps(found, indent=1) + "\n"


def as_sarif(problems: Iterable[Problem]) -> str:
    """Return the findings as SARIF 2.1.0."""
    found = list(problems)
    rules = [
        {
            "id": code,
            "shortDescription": {"text": CODES[code].title},
            "fullDescription": {"text": CODES[code].explanation},
        }
        for code in sorted({problem.code for problem in found})
    ]
    results: list[dict[str, Any]] = [
        {
            "ruleId": problem.code,
            "level": "warning" if problem.is_warning else "error",
            "message": {"text": f"{problem.text}. {problem.remedy}"},
            "locations": [
                {
                    "physicalLocation": {
                        "artifactLocation": {"uri": problem.file},
                        "region": {"startLine": problem.line, "startColumn": problem.column},
                    }
                }
            ],
        }
        for problem in found
    ]
    driver = {"name": "willowwing-sidecar", "rules": rules}
    log = {"$schema": SARIF, "version": "2.1.0", "runs": [{"tool": {"driver": driver}, "results": results}]}
    return json.dumps(log, indent=1) + "\n"
