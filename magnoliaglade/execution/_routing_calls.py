"""Calls to the owner of a domain, wherever it runs."""

from magnoliaglade import membership, peers
from magnoliaglade.execution import _errors, _routing_replies
from magnoliaglade.execution import _routing_messages as messages

CALL_TIMEOUT_S = 2.0


class OwnerCalls:
    """Sends messages about jobs to the owners of their domains."""

    def __init__(
        self,
        *,
        network: peers.PeerNetwork,
        directory: membership.OwnerDirectory,
    ) -> None:
        self.network = network
        self.directory = directory

    async def call(
        self, domain: str, message: peers.Message
    ) -> messages.JobReply:
        """Sends a message to a domain's owner and returns what it found.

        Raises:
            NotOwnerError: no owner was reached; this call had no effect.
            NotRunError: the owner refused; this call had no effect.
            UnknownJobError: the owner has no such job.
            OutcomeUnknownError: no reply came, or the owner does not know.
        """
        record = self.directory.owner_of(domain)
        if record is None:
            raise _errors.NotOwnerError(f"{domain}: has no owner at the moment")
        try:
            reply = await self.network.request(
                record.instance, message, timeout_s=CALL_TIMEOUT_S
            )
        except (peers.PeerUnreachableError, peers.PeerRefusedError) as error:
            raise _errors.NotOwnerError(f"{domain}: {error}") from error
        except peers.PeerError as error:
            raise _errors.OutcomeUnknownError(f"{domain}: {error}") from error
        return _routing_replies.check(reply)
