"""Recovery of the proxy fleet after a power loss, and the records that a proxy keeps for its next process.

`record_format`, `persisted_records` and `store` implement the write-ahead log. `store_directory` and
`async_store_writer` perform its I/O. `validity_rules` defines which records are still valid, `peer_survey`
determines the outage, and `phases` defines which requests are admitted. `endpoint_override`,
`staggered_start` and `retry_after` control how load returns. `service` drives all of these modules. The
policy decides which endpoint receives a request, and the fleet membership determines which members are
alive.
"""
