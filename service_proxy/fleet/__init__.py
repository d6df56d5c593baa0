"""Membership of the fleet of proxies: each proxy's view of the live, suspected, dead and departed members.

The protocol follows SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips,
Currey 2018). Names follow these papers and the documentation of Serf and memberlist. All modules except
`service.py` and `__main__.py` perform no I/O: they receive events and the current time, and return datagrams
and changes. docs/design/fleet.md shows the member states and the datagrams that follow a crash.
"""
