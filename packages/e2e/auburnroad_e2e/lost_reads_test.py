"""Tests that a change is known in time although reads of it are lost.

The bound counts from the acknowledgement of a change, however the reads of
the gateway that has to learn of it end: without an answer, with an answer that
is held up, or with one more that is lost right after the first.
"""

from auburnroad_e2e.launch import relay as relays
from auburnroad_e2e import silent_connections_test
from auburnroad_standins import platform_store

TOPIC = silent_connections_test.TOPIC
# The users' bound from the acknowledgement of a change until all gateways that
# reach the log service act by it (configMs of the smaller deployments).
CONFIGURATION_SECONDS = 2.0
# Long enough for a read to be sent after one that has returned records.
SENT_SECONDS = 0.15


class LostReadsTest(silent_connections_test.HostsTestCase):
    """The reads of one host are lost; the others are cut from the log."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.revision = 0
        self.subject, *self.peers = self.hosts
        self.put()
        await self.start_tails()

    def put(self):
        self.revision += 1
        self.store.log.put(TOPIC, 'config', b'%d' % self.revision)

    def is_known(self, host=None):
        value = (host or self.subject).values.get('config')
        return value == b'%d' % self.revision

    async def advance(self, seconds):
        advanced = 0.0
        while advanced < seconds:
            step = min(
                silent_connections_test.STEP_SECONDS, seconds - advanced
            )
            await self.step(step)
            advanced += step

    async def begin_read(self):
        """Let all hosts have a read that has just been sent."""
        self.put()
        await self.advance_until(
            lambda: all(self.is_known(host) for host in self.hosts)
        )
        await self.advance(SENT_SECONDS)

    def lose_reads(self, host, lasting=False):
        """Let the host's open connections to the log carry nothing more."""
        host.relays[0].silence(relays.Direction.BOTH, lasting)

    async def assert_known_in_time(self):
        seconds = await self.advance_until(self.is_known)
        self.assertLessEqual(seconds, CONFIGURATION_SECONDS)

    # Guards against a route that is denied after its configuration was
    # acknowledged, since a lost read was only tried through cut-off peers.
    async def test_change_is_known_after_a_lost_read_beside_cut_off_peers(
        self,
    ):
        for after_seconds in (0.0, 0.3, 0.6, 0.9):
            with self.subTest(after_seconds=after_seconds):
                await self.begin_read()
                await self.advance(after_seconds)
                for peer in self.peers:
                    self.lose_reads(peer, lasting=True)
                self.lose_reads(self.subject)
                self.put()
                await self.assert_known_in_time()
                for peer in self.peers:
                    peer.relays[0].heal()
                    peer.relays[0].reset()

    # Guards against the same when the read that follows is lost as well.
    async def test_change_is_known_after_two_lost_reads(self):
        await self.begin_read()
        for peer in self.peers:
            self.lose_reads(peer, lasting=True)
        self.lose_reads(self.subject, lasting=True)
        self.put()
        await self.advance(CONFIGURATION_SECONDS / 2)
        self.subject.relays[0].heal()
        seconds = await self.advance_until(self.is_known)
        self.assertLessEqual(
            seconds + CONFIGURATION_SECONDS / 2, CONFIGURATION_SECONDS
        )

    # Guards against a host cut from the log that asks one cut-off peer first.
    async def test_cut_off_host_learns_through_the_peer_that_is_not(self):
        for connected in self.peers:
            with self.subTest(connected=connected.name):
                await self.begin_read()
                cut = [host for host in self.hosts if host is not connected]
                for host in cut:
                    self.lose_reads(host, lasting=True)
                self.put()
                await self.assert_known_in_time()
                for host in cut:
                    host.relays[0].heal()
                    host.relays[0].reset()

    # Guards against a series of changes, each one after a lost read.
    async def test_each_change_of_a_series_is_known_in_time(self):
        await self.begin_read()
        for peer in self.peers:
            self.lose_reads(peer, lasting=True)
        for _ in range(4):
            self.lose_reads(self.subject)
            self.put()
            await self.assert_known_in_time()

    # Guards against an answer from the past that ends the wait for a change.
    async def test_change_is_known_though_answers_are_held_up(self):
        await self.begin_read()
        late = platform_store.TopicFault(hold_seconds=1.0, reads_only=True)
        self.store.topic_faults[platform_store.ALL_HOSTS, TOPIC] = late
        await self.advance(1.0)
        self.put()
        await self.assert_known_in_time()

    # Guards against a snapshot whose answer is lost.
    async def test_change_is_known_though_its_snapshot_is_lost(self):
        await self.begin_read()
        for peer in self.peers:
            self.lose_reads(peer, lasting=True)
        self.lose_reads(self.subject)
        self.put()
        self.store.forget_history()
        await self.assert_known_in_time()
