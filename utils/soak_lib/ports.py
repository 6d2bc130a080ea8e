"""Loopback ports of this process, in blocks that it claims until it ends.

unittests/Common/free_address.h claims blocks of the same places and size.
"""

import os
import socket

# Below the ports that the system gives to connections: a gateway that is down
# for a while finds its ports free again.
FIRST_PORT, BLOCKS, PORTS_EACH = 12000, 100, 200
# Blocks of a process; then it goes on in its oldest one.
MAX_BLOCKS = 10


def bind(port):
    """Returns a socket that holds the port, None if it is taken."""
    holder = socket.socket()
    try:
        holder.bind(("127.0.0.1", port))
        return holder
    except OSError:
        holder.close()
        return None


class PortBlocks:
    """Ports of blocks whose first port it holds, which claims the block."""

    def __init__(self, first_block):
        self.block = first_block
        # First ports of its blocks and what holds them, the latest last.
        self.claims = []
        self.ports = iter(())

    def next(self):
        for _ in range(BLOCKS + 1):
            for port in self.ports:
                holder = bind(port)
                if holder:
                    holder.close()
                    return port
            first = self.claim()
            self.ports = iter(range(first + 1, first + PORTS_EACH))
        raise OSError("all ports are taken")

    def claim(self):
        """Returns the first port of a block that no other process has."""
        for _ in range(BLOCKS if len(self.claims) < MAX_BLOCKS else 0):
            first = FIRST_PORT + self.block % BLOCKS * PORTS_EACH
            self.block += 1
            holder = bind(first)
            if holder:
                self.claims.append((first, holder))
                return first
        if not self.claims:
            raise OSError("all ports are taken")
        self.claims.append(self.claims.pop(0))
        return self.claims[-1][0]


_blocks = PortBlocks(os.getpid())


def free_ports(count):
    return [_blocks.next() for _ in range(count)]
