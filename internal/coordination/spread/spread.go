// Package spread hashes names, so that processes that know the same names distribute work
// consistently without coordination.
package spread

import "hash/fnv"

// mixFactor is 2^64 divided by the golden ratio, as in Fibonacci hashing.
const mixFactor = 0x9e3779b97f4a7c15

// Hash returns a hash of the names in order.
func Hash(names ...string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		// Write of a hash never returns an error.
		_, _ = h.Write([]byte(name))
		_, _ = h.Write([]byte{0})
	}
	// FNV barely mixes the last bytes into the high bits. The finalizer spreads names that
	// differ only at the end.
	sum := h.Sum64()
	sum ^= sum >> 32
	sum *= mixFactor
	return sum ^ sum>>29
}
