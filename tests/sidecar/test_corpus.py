"""Corpus: broken descriptions are refused with the expected line and code, and good ones are accepted."""

from __future__ import annotations

from pathlib import Path

import pytest
from description_files import CORPUS, PLAIN, good_descriptions, write_description

from service_proxy.sidecar.__main__ import main
from service_proxy.sidecar.checking import check

EXPECTED = [
    line.split()
    for line in (CORPUS / "broken" / "EXPECTED").read_text().splitlines()
    if not line.startswith("#")
]


@pytest.mark.parametrize(("file", "line", "code"), EXPECTED, ids=[file for file, _, _ in EXPECTED])
def test_a_broken_description_is_refused_at_its_line(file: str, line: str, code: str) -> None:
    problems = [problem for problem in check([str(CORPUS / "broken" / file)], "") if not problem.is_warning]
    assert problems, "accepted"
    found = [(problem.line, problem.code) for problem in problems]
    assert found[0][0] == int(line), "\n".join(map(str, problems))
    assert (int(line), code) in found, "\n".join(map(str, problems))
    assert problems[0].remedy


@pytest.mark.parametrize("file", good_descriptions(), ids=lambda path: path.stem)
def test_a_good_description_is_accepted(file: Path) -> None:
    assert check([str(file)], "") == []


def test_the_corpus_has_its_minimum_size() -> None:
    files = {path.name for path in (CORPUS / "broken").glob("*.toml")}
    assert files == {file for file, _, _ in EXPECTED}
    assert len(files) >= 50
    assert len(good_descriptions()) >= 20


def test_all_findings_come_in_one_run(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    text = (
        PLAIN.replace('aim = "2.5s"', "aim = 3")
        .replace("nodes = 40", "node = 40")
        .replace("worth = 12", "worth = -1")
    )
    assert main(["check", write_description(tmp_path, text=text)]) == 1
    output = capsys.readouterr().out
    assert output.count("error[") == 4
    assert output.count("  help: ") == 4  # the fourth finding is the missing key nodes
