"""Parts that coordinate processes; they can be used without the daemons.

Each module stands alone, takes its clock and the key-value service as interfaces
(`wigeonfront.clock`, `wigeonfront.platform`) and has an example in its docstring:
`ledger` (attempts, at most once, joined and replayed by key), `slots` and
`ownership` (who owns a key, at which epoch), `delivery` (who may deliver a Lot),
`lease` and `fencing`, `settled` (writes whose answer was lost), `revisions`
(rows that never go back), `rendezvous` and `allowance` (limits shared by members).
Import names from the modules, so that a process holds only what it uses.
"""
