package protocol

import "hash/fnv"

// ShardID identifies a shard of the scheduler's state and the replica group that stores it.
type ShardID uint32

// ConfigurationShard stores the operator's configuration.
const ConfigurationShard ShardID = 0

// JobShards is the number of shards of jobs. Their IDs are 1 to JobShards.
const JobShards = 4

// ShardOf returns the shard of a service's jobs and runners. The hash is FNV-1a; it is part of the wire format, as every
// process computes it by itself.
func ShardOf(service string) ShardID {
	hash := fnv.New32a()
	hash.Write([]byte(service))
	return ShardID(1 + hash.Sum32()%JobShards)
}
