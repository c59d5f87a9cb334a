"""The calls that other entries make to this one."""

from wigeonfront.entry.confirmation import Confirmation
from wigeonfront.entry.member_calls import (
    CHANGE_PATH,
    POLL_PATH,
    RENEW_PATH,
    Change,
    Poll,
    Renew,
    RenewReply,
)
from wigeonfront.entry.polling import Polling
from wigeonfront.http import Application, Call, Reply
from wigeonfront.platform import KeyValue, Lease, LeaseLost


class MemberServer:
    """Handlers of other entries' calls; all are answered at once.

    Parameters
    ----------
    polling : Polling
    confirmation : Confirmation
    key_value : KeyValue
        Asked for others that can't reach it.
    """

    def __init__(
        self, polling: Polling, confirmation: Confirmation, key_value: KeyValue
    ) -> None:
        self._polling = polling
        self._confirmation = confirmation
        self._key_value = key_value

    def routes(self, application: Application) -> None:
        """Add the routes of other entries."""
        application.route("POST", POLL_PATH, self.poll)
        application.route("POST", CHANGE_PATH, self.change)
        application.route("POST", RENEW_PATH, self.renew)

    def poll(self, call: Call) -> Reply:
        """Say what this entry knows."""
        return Reply(200, self._polling.answer(call.decode(Poll)))

    def change(self, call: Call) -> Reply:
        """Take a catalogue row and say whether it is in force."""
        return Reply(200, self._confirmation.answer(call.decode(Change)))

    def renew(self, call: Call) -> Reply:
        """Renew the lease of an entry that is cut off."""
        return Reply(200, renew_for(self._key_value, call.decode(Renew)))


def renew_for(key_value: KeyValue, renew: Renew) -> RenewReply:
    """Renew another entry's lease and say how that ended."""
    reply = key_value.renew_lease(renew.lease)
    if isinstance(reply, Lease):
        return RenewReply(status="renewed", ttl=reply.ttl)
    status = "lost" if isinstance(reply, LeaseLost) else "unavailable"
    return RenewReply(status=status)
