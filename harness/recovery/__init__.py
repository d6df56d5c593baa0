"""Stand-ins for what a power loss takes: disks that tear, fill, slow down and lose what was not synced."""
