"""Stand-ins of the review: the platform, discovery, backends and clients, on loopback addresses."""
