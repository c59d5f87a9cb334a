"""HTTP servers over cheroot (`raw`) and HTTP calls over urllib3 (`client`).

Requests are read by `source` (time), `framing` (where a body ends) and `body` (memory),
through the library's classes in `connection`; `waiting` decides which stalled call is
shed, and `budget` holds the memory of all bodies. `bounded` does the same for answers.
`pools` keeps the connections to several addresses, `threads` the threads of a server,
`encoding` encodes bodies, and `sockets` defines socket options. The package starts no
tasks.
"""
