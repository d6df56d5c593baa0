"""Tests of `write`: reproducible files that the proxy's reader accepts, and no loss of edits by hand."""

from __future__ import annotations

import dataclasses
import json
from pathlib import Path

import pytest
from description_files import PLAIN, good_descriptions, write_description

from service_proxy.net.config import ProxyConfig, load_config
from service_proxy.operator_file import load as load_operator
from service_proxy.policy.settings_types import Idempotency
from service_proxy.sidecar.__main__ import main
from service_proxy.sidecar.description import load
from service_proxy.sidecar.toml import description_text


def read_tree(folder: Path) -> dict[str, bytes]:
    """Return the content of all files below the folder, by relative path."""
    return {str(path.relative_to(folder)): path.read_bytes() for path in folder.rglob("*") if path.is_file()}


def write_folder(tmp_path: Path, text: str = PLAIN) -> Path:
    """Write the files of a description; return their folder."""
    folder = tmp_path / "out"
    assert main(["write", write_description(tmp_path, text=text), "-o", str(folder)]) == 0
    return folder


def outbound_config(folder: Path) -> ProxyConfig:
    """Return the written configuration of the proxy from portal to nucleo."""
    return load_config({"EDGE_CONFIG": str(folder / "h-1/portal-nucleo.json")})


def test_the_proxys_own_reader_accepts_the_written_files(tmp_path: Path) -> None:
    folder = write_folder(tmp_path)
    assert set(read_tree(folder)) == {
        "h-1/portal-nucleo.json",
        "h-1/portal-nucleo.service",
        "h-1/portal.service",
        "h-2/nucleo.service",
    }
    config = outbound_config(folder)
    classes = {cls.name: cls for cls in config.settings.classes}
    assert [cls.idempotency for cls in classes.values()] == [
        Idempotency.IDEMPOTENT,
        Idempotency.IDEMPOTENT_WITH_KEY,
        Idempotency.NOT_IDEMPOTENT,
    ]
    assert classes["reserva"].idempotency_scope == "zone"
    assert classes["reserva"].idempotency_window == 6.0
    assert classes["canje"].deadline == 6.0
    assert config.listen == ("127.0.0.1", 7001)
    assert config.settings.drain_grace == 2.0
    assert config.settings.tier_index == 1
    assert config.settings.max_attempts == 3
    assert (folder / "h-1/portal-nucleo.service").read_text().count("EDGE_CONFIG") == 1


MEMBERSHIP = """
[tier.nucleo.membership]
servers = ["10.2.0.7:2181", "10.2.0.8:2181"]
path = "/salas/nucleo"
reread_jitter = 0.25

"""


def test_ephemeral_nodes_are_written_as_the_operators_file(tmp_path: Path) -> None:
    text = PLAIN.replace("[tenant.app]", MEMBERSHIP + "[tenant.app]").replace(
        "[tier.nucleo]\n", '[tier.nucleo]\npadron = "10.2.0.9:8500"\n'
    )
    text += '\n[sidecar.registration]\nname = "s-\\"2"\naddress = "10.0.0.5:8081"\n'
    folder = write_folder(tmp_path, text)
    outbound = load_operator(str(folder / "h-1/portal-nucleo.operator.toml"))
    assert outbound.membership is not None
    assert outbound.registration is None
    assert outbound.membership.servers == ("10.2.0.7:2181", "10.2.0.8:2181")
    assert outbound.membership.reread_jitter == 0.25
    assert outbound.membership.path == "/salas/nucleo"
    inbound = load_operator(str(folder / "h-2/nucleo.operator.toml"))
    assert inbound.registration is not None
    assert inbound.registration.name == 's-"2'
    assert "--operator" in (folder / "h-1/portal-nucleo.service").read_text()
    assert outbound_config(folder).discovery == ("10.2.0.9", 8500)
    unit = (folder / "h-2/nucleo.service").read_text()
    assert "run /etc/willowwing/canjes.toml --host h-2 --tier nucleo" in unit
    file = folder / "h-2/nucleo.operator.toml"
    file.write_text(file.read_text().replace("0.25", "0.5"))
    assert main(["write", str(tmp_path / "app.toml"), "-o", str(folder)]) == 1


def test_check_accepts_every_written_file_and_reports_which_was_edited(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = write_folder(tmp_path, PLAIN.replace("[tenant.app]", MEMBERSHIP + "[tenant.app]"))
    files = sorted(str(path) for path in folder.rglob("*") if path.is_file())
    assert {Path(file).suffix for file in files} == {".json", ".service", ".toml"}
    assert main(["check", str(tmp_path / "app.toml"), *files]) == 0, capsys.readouterr().out
    for file in files:
        before = Path(file).read_text()
        Path(file).write_text(before.replace("0.25", "0.5").replace("MAINPID", "PID"))
        assert main(["check", file]) == 1
        assert f"{file}:1:1: error[C008]: was edited by hand" in capsys.readouterr().out
        Path(file).write_text(before)
    foreign = tmp_path / "own.service"
    foreign.write_text("[Service]\n")
    assert main(["check", str(foreign)]) == 1
    assert main(["check", str(tmp_path / "no.service")]) == 2


def test_a_route_stricter_than_its_class_keeps_the_form_of_requests(tmp_path: Path) -> None:
    """Guards against a lost key if the route retries only what never ran: requests still have their key."""
    text = PLAIN.replace('retry = "by-key"\nretry_within = "zone"\nretry_for = "6s"', 'retry = "never-ran"')
    text = text.replace('retry = "always"', 'retry = "never"\nattempts = 2')
    config = outbound_config(write_folder(tmp_path, text))
    classes = {cls.name: cls for cls in config.settings.classes}
    assert {cls.idempotency for cls in classes.values()} == {Idempotency.NOT_IDEMPOTENT}
    assert config.request_idempotency == {
        "stock": Idempotency.IDEMPOTENT,
        "reserva": Idempotency.IDEMPOTENT_WITH_KEY,
        "canje": Idempotency.NOT_IDEMPOTENT,
    }
    assert [cls.max_attempts for cls in classes.values()] == [1, 3, 3]


def test_features_are_the_platforms_limits(tmp_path: Path) -> None:
    text = '[features]\nprobes = false\nretry_after = false\ncancel = false\nload_reports = "answer"\n\n'
    text = PLAIN.replace("[class.stock]", text + "[class.stock]", 1)
    settings = outbound_config(write_folder(tmp_path, text)).settings
    assert not (settings.can_check_health or settings.can_send_retry_after or settings.can_cancel)
    assert settings.load_report_source == "answer"


@pytest.mark.parametrize("file", good_descriptions(), ids=lambda path: path.stem)
def test_a_description_written_as_text_reads_as_the_same(file: Path, tmp_path: Path) -> None:
    _, description = load(str(file))
    assert description is not None
    reread = load(write_description(tmp_path, text=description_text(description)))[1]
    assert reread is not None
    expected = dataclasses.replace(description, file="")
    assert dataclasses.replace(reread, file="", top=description.top) == expected


def test_the_same_input_gives_the_same_bytes(tmp_path: Path) -> None:
    first = read_tree(write_folder(tmp_path))
    assert read_tree(write_folder(tmp_path)) == first
    assert [path.name for path in tmp_path.iterdir() if path.name.startswith(".out")] == []


def test_a_description_that_check_refuses_is_not_written(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = write_description(tmp_path, text=PLAIN.replace('retry = "never-ran"', 'retry = "always"'))
    assert main(["write", file, "-o", str(tmp_path / "out")]) == 1
    assert "R202" in capsys.readouterr().out
    assert not (tmp_path / "out").exists()


@pytest.mark.parametrize("name", ["portal-nucleo.json", "portal-nucleo.service", "notes.txt"])
def test_a_file_edited_by_hand_is_not_overwritten_unless_forced(
    tmp_path: Path, name: str, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = write_folder(tmp_path)
    edited = folder / "h-1" / name
    edited.write_text((edited.read_text() if edited.exists() else "").replace("0.25", "0.5") + "\n# mine\n")
    before = read_tree(folder)
    file = str(tmp_path / "app.toml")
    assert main(["write", file, "-o", str(folder)]) == 1
    assert "error[C008]" in capsys.readouterr().out
    assert read_tree(folder) == before
    assert main(["write", file, "-o", str(folder), "--force"]) == 0
    assert read_tree(folder) != before
    assert read_tree(tmp_path / ".out.old") == before


def test_a_change_of_white_space_in_the_json_is_not_an_edit(tmp_path: Path) -> None:
    folder = write_folder(tmp_path)
    file = folder / "h-1" / "portal-nucleo.json"
    file.write_text(json.dumps(json.loads(file.read_text())))
    assert write_folder(tmp_path) == folder


def test_a_link_in_the_folder_is_not_followed(tmp_path: Path) -> None:
    folder = write_folder(tmp_path)
    outside = tmp_path / "outside"
    outside.write_text("mine")
    (folder / "h-1" / "link.json").symlink_to(outside)
    assert main(["write", str(tmp_path / "app.toml"), "-o", str(folder)]) == 1
    linked_folder = tmp_path / "other"
    linked_folder.symlink_to(folder)
    assert main(["write", str(tmp_path / "app.toml"), "-o", str(linked_folder), "--force"]) == 1
    assert outside.read_text() == "mine"


def test_a_disk_that_becomes_full_leaves_the_old_folder(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = write_folder(tmp_path)
    before = read_tree(folder)
    synced = []

    def fsync_on_full_disk(handle: int) -> None:
        synced.append(handle)
        if len(synced) > 1:
            raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", fsync_on_full_disk)
    write_description(tmp_path, text=PLAIN.replace("worth = 12", "worth = 13"))
    assert main(["write", str(tmp_path / "app.toml"), "-o", str(folder)]) == 2
    assert "nothing was written: No space" in capsys.readouterr().err
    assert read_tree(folder) == before
    assert {path.name for path in tmp_path.iterdir()} == {"app.toml", "out"}
