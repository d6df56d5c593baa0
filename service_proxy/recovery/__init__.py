"""What a proxy keeps over its own end and a site's, what of it is trusted again, and how service returns.

What belongs here: the store, the facts in it, the table of trust. What doesn't: which server gets a call
(the module's), who lives (the fleet's view), sockets.
"""
