"""Stand-ins for disks in a power loss: they tear writes, fill up, slow down and lose unsynced data."""
