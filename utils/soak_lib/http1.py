"""Just enough of HTTP/1.1 for the soak's stand-ins and clients."""

import asyncio


class Cut(Exception):
    """The connection ended before the message did."""


async def _line(reader):
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise Cut()
    return line.decode("latin-1").rstrip("\r\n")


async def read_head(reader):
    """Returns the first line and the fields, names in lower case."""
    first = await _line(reader)
    fields = {}
    while True:
        line = await _line(reader)
        if not line:
            return first, fields
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()


async def read_chunk(reader):
    """Returns the next chunk of a body; nothing at its end."""
    size = int((await _line(reader)).split(";")[0], 16)
    try:
        data = await reader.readexactly(size)
    except asyncio.IncompleteReadError:
        raise Cut()
    await _line(reader)
    return data


async def read_body(reader, fields, to_end=False):
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            chunk = await read_chunk(reader)
            if not chunk:
                return body
            body += chunk
    if "content-length" in fields:
        try:
            return await reader.readexactly(int(fields["content-length"]))
        except asyncio.IncompleteReadError:
            raise Cut()
    return await reader.read() if to_end else b""


def message(first, fields, body=b""):
    lines = [first] + ["%s: %s" % item for item in fields.items()]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"
