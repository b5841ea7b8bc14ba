package query

import "github.com/cespare/xxhash/v2"

// ShardOf returns the shard that has an item, in a layout of so many shards.
// Upstreams partition their data by it.
func ShardOf(item string, shards int) int {
	return int(xxhash.Sum64String(item) % uint64(shards))
}
