package registrar

import "github.com/cespare/xxhash/v2"

// Hash returns the short hash by which instances name members and services in
// datagrams, and by which they agree on duties (Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998).
func Hash[T ~string](text T) uint32 { return uint32(xxhash.Sum64String(string(text))) }
