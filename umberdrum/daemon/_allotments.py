"""Parts of a daemon that keep the allotments of client accounts."""

from collections.abc import Callable, Iterator

from umberdrum import accounts, allotments, gossip, membership, supervision, wire

# After a joint start, peers have answered by then.
JOIN_SECONDS = 1.5


class GossipTransport:
    """Sends asks in datagrams of the gossip protocol, or answers them itself."""

    def __init__(
        self,
        table: membership.MembershipTable,
        exchange: gossip.GossipExchange,
        grantor: allotments.AllotmentGrantor,
    ) -> None:
        self._table = table
        self._exchange = exchange
        self._grantor = grantor

    async def ask(
        self,
        grantor: allotments.Member,
        ask: allotments.AllotmentAsk,
        timeout_seconds: float,
    ) -> allotments.AllotmentGrant | None:
        """Return the grant of ``grantor``, or None if none arrives in time."""
        own_id = self._table.own.endpoint_id
        if grantor.daemon_id == own_id:
            return self._grantor.answer(own_id, ask, allotments.get_clock())
        record = self._table.get(grantor.daemon_id)
        if record is None:
            return None
        grant = await self._exchange.ask(
            record, allotments.encode_ask(ask), timeout_seconds
        )
        return allotments.decode_grant(grant) if grant is not None else None


class AllotmentParts:
    """Grantor, grantee and client of one daemon.

    ``get_accounts`` returns the accounts in force, None if there are none. Nothing is
    sent to other daemons unless an account has an allotment.
    """

    def __init__(
        self,
        table: membership.MembershipTable,
        exchange: gossip.GossipExchange,
        get_accounts: Callable[[], accounts.AccountTable | None],
        n_slack: float,
        started_at: float,
        tasks: supervision.TaskStarter,
    ) -> None:
        self._table = table
        self._exchange = exchange
        self._started_at = started_at
        self._get_accounts = get_accounts
        self._counted_generation = -1
        self._n_known = 0
        self.grantor = allotments.AllotmentGrantor(
            self._find_account, self._count_daemons, n_slack
        )
        placement = allotments.GrantorPlacement(
            self._list_members, self._get_generation
        )
        self.grantee = allotments.AllotmentGrantee(
            placement, self._count_daemons, started_at
        )
        self.client = allotments.AllotmentClient(
            self.grantee,
            GossipTransport(table, exchange, self.grantor),
            allotments.get_clock,
            tasks,
        )
        exchange.on_ask = self._answer

    async def run(self) -> None:
        """Keep the delegations while any account has an allotment."""
        await self.client.keep_delegations(self.has_limits)

    def has_limits(self) -> bool:
        """Return whether any account in force has an allotment."""
        table = self._get_accounts()
        return table is not None and table.has_limits

    def _answer(
        self, sender_id: str, ask: wire.messages.AllotmentAsk
    ) -> wire.messages.AllotmentGrant:
        grant = self.grantor.answer(
            sender_id, allotments.decode_ask(ask), allotments.get_clock()
        )
        return allotments.encode_grant(grant)

    def _find_account(self, name: str) -> accounts.Account | None:
        table = self._get_accounts()
        return table.get(name) if table is not None else None

    def _count_daemons(self) -> int:
        """Return how many daemons may own a share: all but those that have left.

        Suspected daemons count, because they may only be cut off.
        """
        # Each ask and each grant needs the number: counted once for each change.
        if self._counted_generation != self._table.generation:
            self._counted_generation = self._table.generation
            self._n_known = sum(
                1 for record in self._table.records if not record.is_final
            )
        return max(self._n_known, self._exchange.get_told_cluster_size())

    def _has_joined(self) -> bool:
        """Return whether any peer has answered, or none seems to exist.

        A daemon that knows only itself would take all allotments for its own.
        """
        if self._exchange.last_received_at is not None:
            return True
        return allotments.get_clock() - self._started_at > JOIN_SECONDS

    def _get_generation(self) -> int:
        return 2 * self._table.generation + self._has_joined()

    def _list_members(self) -> Iterator[allotments.Member]:
        if not self._has_joined():
            return
        for record in self._table.records:
            if record.is_live:
                yield allotments.Member(record.endpoint_id, record.process_id)
