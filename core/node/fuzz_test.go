package node_test

import "testing"

// byteSource draws the random choices from bytes, two per choice, and 0 after their end.
type byteSource struct{ data []byte }

func (c *byteSource) IntN(n int) int {
	v := 0
	for range 2 {
		if len(c.data) == 0 {
			break
		}
		v = v<<8 | int(c.data[0])
		c.data = c.data[1:]
	}
	return v % n
}

// FuzzWorld lets the fuzzer choose every event of a simulation.
func FuzzWorld(f *testing.F) {
	f.Add([]byte("search, deliver, break, restart, resend the same key through another VM"))
	f.Add([]byte{0, 0, 0, 1, 0, 6, 0, 7, 0, 3, 1, 2, 0, 5, 0, 20, 0, 30, 0, 8, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &byteSource{data}
		sim := newSimulation(c)
		for len(c.data) > 0 && len(sim.failures) == 0 {
			sim.step()
		}
		sim.checkCompletion()
		if len(sim.failures) > 0 {
			t.Fatal(sim.failures[0])
		}
	})
}
