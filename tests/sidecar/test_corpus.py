"""The corpus: every broken description is refused with the line and code expected, every good one
accepted.
"""

from __future__ import annotations

from pathlib import Path

import pytest

from service_proxy.sidecar.__main__ import main
from service_proxy.sidecar.checking import check

CORPUS = Path(__file__).parent.parent / "corpus"
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
    assert found[0][0] == int(line) and (int(line), code) in found, "\n".join(map(str, problems))
    assert problems[0].remedy


@pytest.mark.parametrize("file", sorted((CORPUS / "good").glob("*.toml")), ids=lambda path: path.stem)
def test_a_good_description_is_accepted(file: Path) -> None:
    assert check([str(file)], "") == []


def test_the_corpus_is_as_large_as_it_has_to_be() -> None:
    files = {path.name for path in (CORPUS / "broken").glob("*.toml")}
    assert files == {file for file, _, _ in EXPECTED} and len(files) >= 50
    assert len(list((CORPUS / "good").glob("*.toml"))) >= 20


def test_all_findings_come_in_one_run(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    text = (CORPUS / "good" / "plain.toml").read_text()
    text = (
        text.replace('aim = "2.5s"', "aim = 3")
        .replace("nodes = 40", "node = 40")
        .replace("worth = 12", "worth = -1")
    )
    file = tmp_path / "app.toml"
    file.write_text(text)
    assert main(["check", str(file)]) == 1
    said = capsys.readouterr().out
    assert said.count("error[") == 4 and said.count("  help: ") == 4  # nodes is missing, too
