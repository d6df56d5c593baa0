"""Test harnesses: stub servers, scripted peers and the recorder.

They use loopback addresses only, and service_proxy never imports them.
"""
