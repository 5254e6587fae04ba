package membership

import (
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/vmlist"
)

const (
	// heartbeatInterval is the time between heartbeats within a zone.
	heartbeatInterval = 500 * time.Millisecond
	// minRemoteInterval is the minimum time between heartbeats to each other zone.
	minRemoteInterval = 2 * time.Second
	// remoteIntervalPerZone makes that interval grow with the number of zones, so
	// that the speaker of a zone sends at most four heartbeats a second to other
	// zones.
	remoteIntervalPerZone = 250 * time.Millisecond
	// digestInterval is the time between two digests, with which the speaker tells
	// its zone of the members of other zones.
	digestInterval = 2 * time.Second
	// suspectTimeout is the time without a heartbeat after which a member of this zone
	// is suspect.
	suspectTimeout = 3 * heartbeatInterval
	// remoteSuspectIntervals is the same for members of other zones, in intervals
	// between heartbeats to a zone. Updates about them take two hops: a heartbeat
	// between zones and a digest.
	remoteSuspectIntervals = 5
	// heartbeatTimeout bounds one heartbeat call.
	heartbeatTimeout = time.Second
	// unknownAddrInterval is the time between heartbeats to addresses without a
	// known member.
	unknownAddrInterval = 2 * time.Second
	// maxTickDelay is the delay of the heartbeat timer above which this process
	// counts as paused.
	maxTickDelay = time.Second
	// refusalsUntilDead is the number of consecutive refused connections that prove
	// that a process has ended. A single one may come from the restart of a network
	// device that forwards the connection.
	refusalsUntilDead = 2
	// maxLearnedAddrs bounds the addresses learned from digests. A zone has few entry
	// VMs.
	maxLearnedAddrs = 64
	// endedRetention is how long a dead or left member stays in the list.
	endedRetention = time.Minute
)

// Config configures a List.
type Config struct {
	// Self has the ID, zone, peer address and incarnation of this entry VM.
	Self Member
	// Seeds are the peer addresses to contact first.
	Seeds  []string
	VMs    vmlist.Source
	Peers  *peer.Client
	Server *peer.Server
	// Report returns the status that this entry VM sends in its heartbeats.
	Report func() Report
	// OnPause is called with the duration of a detected pause of this process.
	OnPause func(time.Duration)
	// OnHeartbeat is called after each heartbeat from another member. It must not block.
	OnHeartbeat func(Member)
	Logger      *zap.Logger
}
