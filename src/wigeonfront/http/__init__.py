"""HTTP servers over cheroot (`raw`) and HTTP calls over urllib3 (`client`).

`pools` keeps the connections to several addresses, `threads` the threads of a server,
`encoding` encodes bodies, and `sockets` defines socket options. The package starts no
tasks.
"""
