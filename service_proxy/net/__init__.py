"""The real proxy round the decision module: sockets on one side, events and actions on the other."""
