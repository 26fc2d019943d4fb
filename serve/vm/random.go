package vm

import "math/rand/v2"

// newRandom returns a randomly seeded generator. It is not safe for concurrent use.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
