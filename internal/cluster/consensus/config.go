package consensus

import "time"

// The defaults of the settings in Config that are zero or negative.
const (
	defaultHeartbeatInterval  = 100 * time.Millisecond
	defaultElectionTimeout    = time.Second
	defaultMaxAppendBytes     = 256 << 10
	defaultMaxInflight        = 16
	defaultSnapshotChunkBytes = 256 << 10
)

// Config is the configuration of one member of one group. Settings that are zero or negative get their defaults.
type Config struct {
	Group uint32   // number of the group; messages of other groups are ignored
	ID    MemberID // of this member
	Seed  uint64   // of the random election timeouts

	HeartbeatInterval time.Duration // between two periodic heartbeats of a leader
	// ElectionTimeout is how long after its last contact a leader is considered failed. A member starts an election after a
	// random time between ElectionTimeout and twice ElectionTimeout. A leader without responses from a quorum for
	// ElectionTimeout steps down.
	ElectionTimeout time.Duration

	MaxAppendBytes     int // approximate maximum size in bytes of the entries in one append; a larger entry is sent alone
	MaxInflight        int // maximum number of unacknowledged appends to one member
	SnapshotChunkBytes int // maximum size in bytes of the part of a snapshot in one message
}

// withDefaults returns the configuration with its unset settings replaced by their defaults.
func (c Config) withDefaults() Config {
	if c.HeartbeatInterval <= 0 {
		c.HeartbeatInterval = defaultHeartbeatInterval
	}
	if c.ElectionTimeout <= 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.MaxAppendBytes <= 0 {
		c.MaxAppendBytes = defaultMaxAppendBytes
	}
	if c.MaxInflight <= 0 {
		c.MaxInflight = defaultMaxInflight
	}
	if c.SnapshotChunkBytes <= 0 {
		c.SnapshotChunkBytes = defaultSnapshotChunkBytes
	}
	return c
}
