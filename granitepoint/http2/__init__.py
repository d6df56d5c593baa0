"""HTTP/2 towards backends (RFC 9113): many calls on few connections.

So far: outcomes, what each end of a stream proves of whether its call has run. The rest is on its way;
docs/design/http2.md says what.
"""
