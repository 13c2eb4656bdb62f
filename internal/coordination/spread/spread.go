// Package spread hashes names, so that processes that know of the same names
// divide work among themselves alike without asking each other.
package spread

import "hash/fnv"

// mixFactor is an odd number with many bits set, 2^64 over the golden ratio.
const mixFactor = 0x9e3779b97f4a7c15

// Hash gives a number for names in order.
func Hash(names ...string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		// Writing to a hash does not fail.
		_, _ = h.Write([]byte(name))
		_, _ = h.Write([]byte{0})
	}
	// The last bytes of a name change only the low bits of the sum; numbers of
	// names that differ there would stand side by side.
	sum := h.Sum64()
	sum ^= sum >> 32
	sum *= mixFactor
	return sum ^ sum>>29
}
