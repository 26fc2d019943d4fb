package vm

import "math/rand/v2"

// newRandom returns a random source for one goroutine.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
