"""Opens connections to a gateway, sends on each a head and all but the end of a chunked
body, in chunks of one byte, and keeps them open until its standard input ends.

Arguments: ADDRESS CONNECTIONS BYTES NUMBER"""

import asyncio
import sys

from standin import Connection, encode, headers


async def main(address, connections, size, number):
    crowd = []
    for index in range(connections):
        connection = Connection(address)
        try:
            await connection.open()
            await connection.send("POST", f"/book/{index}", headers(f"crowd{number}-{index}")
                                  + [("Transfer-Encoding", "chunked")], b"1\r\nx\r\n" * size)
            crowd.append(connection)
        except (OSError, asyncio.TimeoutError):
            pass  # to refuse such a client is allowed
    print(len(crowd), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


asyncio.run(main(sys.argv[1], *(int(each) for each in sys.argv[2:])))
