package protocol

import "hash/fnv"

// ShardID identifies a shard of the scheduler's state, and the Raft group that stores it.
type ShardID uint32

// ConfigurationShard is the shard that stores the operator's configuration.
const ConfigurationShard ShardID = 0

// JobShards is the number of shards that store jobs. Their IDs are 1 to JobShards.
const JobShards = 4

// ShardOf returns the shard that stores a service's jobs. The owner of that shard also manages the service's runners. The
// shard is
//
//	1 + FNV-1a(service) mod JobShards
//
// The formula must not change: each process computes it, and jobs are stored by it.
func ShardOf(service string) ShardID {
	hash := fnv.New32a()
	hash.Write([]byte(service))
	return ShardID(1 + hash.Sum32()%JobShards)
}
