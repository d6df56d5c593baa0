"""A disk in memory that says what a cut at any moment may leave, and one that fails when told to.

What POSIX promises and no more ("All File Systems Are Not Created Equal", 2014): data is safe after a sync of
its file, names (made, renamed, removed) after a sync of the folder; before that, any part of either may be
there or not, names in any order. A `Tape` records what a store does; `cuts` plays each beginning of it.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

Image = dict[str, bytes]  # a folder's files


@dataclass(eq=False)
class Inode:
    safe: bytes = b""
    pending: list[bytes] = field(default_factory=list)

    @property
    def whole(self) -> bytes:
        return self.safe + b"".join(self.pending)


@dataclass(frozen=True)
class Step:
    """One thing that a store did. `mark`: how much it had begun to say, and how much it was told is safe."""

    do: str
    name: str = ""
    to: str = ""
    inode: int = -1
    data: bytes = b""
    mark: tuple[int, int] = (0, 0)


class Tape:
    """store.Disk in memory, which records."""

    def __init__(self, image: Image | None = None) -> None:
        self.files: dict[str, int] = {}
        self.inodes: list[bytearray] = []
        self.begun = dict(image or {})
        for name, data in self.begun.items():
            self.files[name] = len(self.inodes)
            self.inodes.append(bytearray(data))
        self.steps: list[Step] = []
        # records, told by who drives the store
        self.said = 0
        self.safe = 0
        self.fails: Callable[[str, str], int] | None = None  # of a deed and a name: an errno, or 0

    def _step(self, do: str, name: str = "", to: str = "", inode: int = -1, data: bytes = b"") -> None:
        if self.fails is not None:
            fault = self.fails(do, name)
            if fault:
                if do == "write":  # some of it is there
                    half = data[: len(data) // 2]
                    self.inodes[inode] += half
                    self.steps.append(Step(do, name, to, inode, half, (self.said, self.safe)))
                raise OSError(fault, errno.errorcode[fault])
        self.steps.append(Step(do, name, to, inode, data, (self.said, self.safe)))

    def names(self) -> list[str]:
        return list(self.files)

    def read(self, name: str, most: int) -> bytes:
        if name not in self.files:
            raise OSError(errno.ENOENT, "ENOENT")
        return bytes(self.inodes[self.files[name]][:most])

    def create(self, name: str) -> tuple[str, int]:
        self._step("create", name, inode=len(self.inodes))
        self.files[name] = len(self.inodes)
        self.inodes.append(bytearray())
        return name, self.files[name]

    def write(self, file: tuple[str, int], data: bytes) -> None:
        name, inode = file
        self._step("write", name, inode=inode, data=data)
        self.inodes[inode] += data

    def sync(self, file: tuple[str, int]) -> None:
        self._step("sync", file[0], inode=file[1])

    def close(self, file: tuple[str, int]) -> None: ...

    def rename(self, old: str, new: str) -> None:
        self._step("rename", old, new)
        self.files[new] = self.files.pop(old)

    def remove(self, name: str) -> None:
        self._step("remove", name)
        self.files.pop(name, None)

    def sync_folder(self) -> None:
        self._step("sync folder")


def cuts(tape: Tape) -> Iterator[tuple[Image, tuple[int, int]]]:
    """Each image that a cut may leave, with what had been said and what was safe by then. Images that were
    there before come again only where the marks differ."""
    inodes: dict[int, Inode] = {}
    names: dict[str, int] = {}
    for number, (name, data) in enumerate(tape.begun.items()):
        inodes[number], names[name] = Inode(data), number
    pending: list[Step] = []
    seen: set[int] = set()
    for place in range(len(tape.steps) + 1):
        ended = tape.steps[place].mark if place < len(tape.steps) else (tape.said, tape.safe)
        for image in _images(inodes, names, pending):
            mark = hash((ended, tuple(sorted(image.items()))))
            if mark not in seen:
                seen.add(mark)
                yield image, ended
        if place == len(tape.steps):
            return
        step = tape.steps[place]
        if step.do == "write":
            inodes[step.inode].pending.append(step.data)
        elif step.do == "sync":
            inode = inodes[step.inode]
            inode.safe = inode.whole
            inode.pending = []
        elif step.do == "sync folder":
            for item in pending:
                _rename(names, item)
            pending = []
        else:
            if step.do == "create":
                inodes[step.inode] = Inode()
            pending.append(step)


def _rename(names: dict[str, int], step: Step) -> None:
    if step.do == "create":
        names[step.name] = step.inode
    elif step.do == "remove":
        names.pop(step.name, None)
    elif step.name in names:
        names[step.to] = names.pop(step.name)


def _images(inodes: dict[int, Inode], names: dict[str, int], pending: list[Step]) -> Iterator[Image]:
    half = len(pending) // 2
    for chosen in (pending, [], pending[:half], pending[half:], pending[-1:]):
        there = dict(names)
        for step in chosen:
            _rename(there, step)
        for left in (_kept, _lost, _half, _holed):
            yield {name: left(inodes[inode]) for name, inode in there.items()}


def _kept(inode: Inode) -> bytes:
    return inode.whole


def _lost(inode: Inode) -> bytes:
    return inode.safe


def _half(inode: Inode) -> bytes:
    rest = b"".join(inode.pending)
    return inode.safe + rest[: (len(rest) + 1) // 2]


def _holed(inode: Inode) -> bytes:
    """The file has its length, and the first of what was not synced is not there."""
    rest = b"".join(inode.pending)
    return inode.safe + bytes(len(rest) // 2) + rest[len(rest) // 2 :]
