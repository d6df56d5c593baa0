"""Description files for the tests: the plain description of the corpus, unchanged or modified."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
CORPUS = ROOT / "tests" / "corpus"
PLAIN = (CORPUS / "good" / "plain.toml").read_text()
PLAIN_WITHOUT_SIDECARS = PLAIN[: PLAIN.index("[[sidecar]]")]


def write_description(folder: Path, name: str = "app.toml", text: str = PLAIN) -> str:
    """Write a description, or a part of a description, into the folder; return its path."""
    file = folder / name
    file.write_text(text)
    return str(file)


def write_with_include(folder: Path) -> str:
    """Write the plain description with its classes and routes in an included file, base.toml."""
    start = PLAIN.index("[class.stock]")
    end = PLAIN.index("[tier.portal]")
    write_description(folder, "base.toml", PLAIN[start:end])
    head = PLAIN[:start].replace("padron", 'include = ["base.toml"]\npadron')
    return write_description(folder, text=head + PLAIN[end:])


def good_descriptions() -> list[Path]:
    """Return the paths of the corpus's valid descriptions."""
    return sorted((CORPUS / "good").glob("*.toml"))
