package registrar

import "github.com/cespare/xxhash/v2"

// Hash returns the 32-bit hash that identifies instances, workers and services in
// datagrams and ranks instances in rendezvous hashing (Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998).
func Hash[T ~string](text T) uint32 { return uint32(xxhash.Sum64String(string(text))) }
