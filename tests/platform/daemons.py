"""Starts the daemon as a process and waits until it serves."""

import asyncio
import os

CHECK_PAUSE = 0.05  # Seconds between two checks of readiness.


async def start(program, settings_path, log):
    """The process; `log` is the file or descriptor that it writes to."""
    return await asyncio.create_subprocess_exec(
        program,
        "--on_platform",
        env=dict(os.environ, PERIDOTFALL_CONFIG=settings_path),
        stdout=log,
        stderr=log,
    )


async def until_ready(port, limit):
    """Waits until the daemon says at its readiness port that it is ready, for
    `limit` seconds at most."""
    for _ in range(int(limit / CHECK_PAUSE)):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /peridotfall/ready HTTP/1.1\r\n\r\n")
            line = await reader.readline()
            writer.close()
            if b" 200 " in line:
                return
        except OSError:
            pass  # Not listening yet.
        await asyncio.sleep(CHECK_PAUSE)
    raise RuntimeError("a daemon does not get ready")
