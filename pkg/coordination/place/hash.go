package place

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// rendezvous returns a score for rendezvous hashing: the probability that it is the
// highest is in proportion to weight.
func rendezvous(hash uint64, weight float64) float64 {
	return -weight / math.Log(unitInterval(mix(hash)))
}

// regionSeed separates the choice of a region from that of an upstream.
const regionSeed = 0x9e3779b97f4a7c15

// unitInterval maps a hash into the open interval between 0 and 1.
func unitInterval(hash uint64) float64 { return (float64(hash>>11) + 0.5) / (1 << 53) }

// mix spreads the bits of a combined hash; it is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// objectHash identifies the object of a request on its route. It is never 0, which
// stands for an empty entry in the table of known objects. A request without an
// object counts as one about the route.
func objectHash(q *Query) uint64 {
	return xxhash.Sum64String(string(q.Route.Name)+"\x00"+string(q.Object)) | 1
}
