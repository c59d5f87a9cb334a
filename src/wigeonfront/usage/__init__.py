"""Reports how many requests of each client account began in each window of time.

Each entry notes the requests that it sends to targets (`starts`) and copies the notes
to another entry (`backup`), so that they outlive it. One machine holds the duty: it
collects the notes of all entries (`collection`), fixes the counts of a window in the
store before it sends them (`ledger`), and sends them until they are taken
(`reporting`). `windows` decides which windows are counted when.

Tasks for the caller's supervisor: `StartBackup.run` and `UsageReporter.run`.
"""

from wigeonfront.usage.starts import Start, StartLog, StartNote
from wigeonfront.usage.windows import UsageBounds

__all__ = ["Start", "StartLog", "StartNote", "UsageBounds"]
