"""Recovery of the whole fleet from a power loss, and what a proxy records for the next process of its name.

`record_format`, `persisted_records` and `store` are the write-ahead log; `store_directory` and
`async_store_writer` perform its I/O. `validity_rules` says which records still hold, `peer_survey` what
happened, `phases` what is admitted, `endpoint_override`, `staggered_start` and `retry_after` how load
returns. `service` drives all of them. Which endpoint gets a request is the policy's decision, and who is
alive the fleet's.
"""
