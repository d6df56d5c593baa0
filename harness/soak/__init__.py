"""Soak of one proxy process under faults: endpoints, clients and signals drawn from a seed, and the rules."""
