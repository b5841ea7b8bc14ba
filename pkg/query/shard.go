package query

import "github.com/cespare/xxhash/v2"

// ShardOf returns the shard, from 0, that holds an item in a layout with the
// given number of shards. Upstreams must partition their data by this function.
func ShardOf(item string, shards int) int {
	return int(xxhash.Sum64String(item) % uint64(shards))
}
