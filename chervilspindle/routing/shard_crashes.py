"""Crash records of the shards of one query.

Once an endpoint has answered a query, its crashes are those of single shards,
see `quarantine`.
"""

from chervilspindle.policy import crash_trials


class ShardCrashes:
    """What the quarantine is told of a query's shards, and asked about them.

    Parameters
    ----------
    query : fanout.FanOut
    """

    def __init__(self, query):
        self.query = query
        self.quarantine = query.context.quarantine

    def _name(self, shard) -> str:
        """Return the content that a shard of this query is kept as."""
        return crash_trials.name_shard(self.query.get_content(), shard.service)

    def is_refused(self, shard) -> bool:
        """Tell whether a shard may only be sent as a trial."""
        return self.quarantine.is_content_refused(self._name(shard))

    def find_wait_s(self, shard) -> float:
        """Return the time until a shard's next trial, in s."""
        return self.quarantine.find_content_wait_s(self._name(shard))

    def ask_trial(self, shard, on_outcome):
        """Ask control for a shard's trial; see `quarantine.ask_trial`."""
        return self.quarantine.ask_trial(
            self.query.incoming, on_outcome, self._name(shard)
        )

    def release_trial(self, shard):
        """Let another trial begin, as a shard's has shown nothing."""
        self.quarantine.release_trial(self._name(shard))

    def holds(self, shard) -> bool:
        """Tell whether a shard might end one endpoint too many."""
        if not self.quarantine.record_by_content:
            return False
        return self.quarantine.holds_content(self._name(shard))

    def record_answered(self, shard):
        """Record that an endpoint has answered a shard."""
        shard.answered = True
        shard.crashed_processes.clear()
        if self.quarantine.has_suspects():
            self.quarantine.record_content_answered(self._name(shard))

    def record_complete(self):
        """Record that all shards have been answered."""
        self.quarantine.record_complete(self.query.get_content())

    def probe(self, shard, endpoint_id: str):
        """Find out whether an endpoint has ended while it had a shard."""
        process = self.quarantine.find_process(endpoint_id)
        if shard.answered or not process:
            return

        def handle_probed(crashed):
            if shard.answered:
                return
            if crashed:
                shard.crashed_processes.append(process)
                self._report(shard)
            elif shard.is_trial:
                self.release_trial(shard)

        self.quarantine.probe(endpoint_id, handle_probed)

    def report_all(self, shards):
        """Report the crashes so far: an endpoint has answered the query."""
        for shard in shards:
            self._report(shard)

    def _report(self, shard):
        if not self.query.answered:
            return
        for process in shard.crashed_processes:
            self.quarantine.report_crash(self._name(shard), process)
        shard.crashed_processes.clear()
