"""The gateway on sockets: input and output round the decision module, which makes every decision."""
