"""Buffer for bytes that arrive in pieces of any size, with a memory use close to the number of its bytes."""

from __future__ import annotations

# Size from which a piece is stored as an object of its own; smaller pieces are joined. A `bytes` object and
# its place in a list take about 50 bytes, so the overhead stays under 3%.
MIN_BLOCK_BYTES = 4096


class BlockBuffer:
    """Buffer whose memory use does not depend on the size of the pieces.

    A peer chooses the size of its pieces. An object for each piece of a few bytes would use several times the
    memory that the limits on received bytes allow.

    Attributes:
        size: Number of bytes in the buffer.
    """

    __slots__ = ("_blocks", "_joined", "size")

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._joined = bytearray()  # Small pieces at the end of the buffer, until they form a block.
        self.size = 0

    def append(self, piece: bytes) -> None:
        """Append a piece, which must not be empty."""
        self.size += len(piece)
        is_single = not self._blocks and not self._joined
        if is_single or (len(piece) >= MIN_BLOCK_BYTES and not self._joined):
            self._blocks.append(piece)
            return
        self._joined += piece
        if len(self._joined) >= MIN_BLOCK_BYTES:
            self._store_joined()

    def _store_joined(self) -> None:
        """Store the joined pieces as a block, which later pieces do not change."""
        if self._joined:
            self._blocks.append(bytes(self._joined))
            self._joined = bytearray()

    @property
    def blocks(self) -> list[bytes]:
        """Return the blocks of the buffer in the order of arrival."""
        self._store_joined()
        return self._blocks

    def take(self) -> list[bytes]:
        """Return all blocks, and remove them from the buffer."""
        blocks = self.blocks
        self._blocks = []
        self.size = 0
        return blocks

    def take_first(self, min_bytes: int) -> list[bytes]:
        """Return the first blocks, with at least this many bytes if there are any more, and remove them."""
        blocks = self.blocks
        count = 0
        taken = 0
        while count < len(blocks) and taken < min_bytes:
            taken += len(blocks[count])
            count += 1
        self._blocks = blocks[count:]
        self.size -= taken
        return blocks[:count]
