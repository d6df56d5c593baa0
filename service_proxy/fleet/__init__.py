"""A view of the fleet kept by the proxies themselves: who lives, who does not, and how sure that is.

After SWIM (Das, Gupta, Motivala 2002) with what Lifeguard adds (Dadgar, Phillips, Currey 2018). Everything
but `transport.py` and `__main__.py` decides without I/O: events and a time in, datagrams and changes out.
docs/design/fleet.md has the picture of the states and a crash, datagram by datagram.
"""
