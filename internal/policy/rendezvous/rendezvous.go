// Package rendezvous ranks the members of a set for a key, so that routers which know the
// same members choose the same ones without communication (highest random weight hashing).
package rendezvous

// Rank returns the rank of a member for a key, both given by their hashes. It is
// pseudo-random over 64 bits.
func Rank(key, member uint64) uint64 {
	// The finalizer of splitmix64.
	x := key ^ member
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Fraction returns the rank as a number of at least 0 and below 1.
func Fraction(key, member uint64) float64 { return float64(Rank(key, member)>>11) / (1 << 53) }
