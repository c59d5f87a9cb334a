"""Reports how many requests of each client account started in each window of time.

Each entry records the starts of the requests that it sends to targets (`starts`) and
copies these records to another entry (`backup`), so that they survive its own end. One
machine holds the usage duty. It collects the starts of all entries (`collection`),
commits the counts of a window to the store before it sends them (`ledger`), and sends
them until the platform accepts them (`reporting`). `windows` decides which windows are
counted when. A window whose counts are committed is called fixed.

The package has two tasks for the caller's supervisor: `StartBackup.run` and
`UsageReporter.run`.
"""

from wigeonfront.usage.starts import Start, StartLog, StartNote
from wigeonfront.usage.windows import UsageBounds

__all__ = ["Start", "StartLog", "StartNote", "UsageBounds"]
