"""The fleet's membership view, kept by the proxies themselves: who lives, who does not, and how sure that is.

After SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey 2018); names
follow these papers and the documentation of Serf and memberlist. Everything but `service.py` and
`__main__.py` decides without I/O: events and a time in, datagrams and changes out. docs/design/fleet.md has
the picture of the states and a crash, datagram by datagram.
"""
