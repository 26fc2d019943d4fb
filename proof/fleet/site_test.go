package fleet

import "testing"

// TestPortsOutlastARestart checks that a VM's port is outside the range from which
// the system assigns ports to outgoing connections. Otherwise a connection can
// take the port of a stopped VM, whose restart then fails with "address already in
// use" (soak, seed 318, on a busy machine).
func TestPortsOutlastARestart(t *testing.T) {
	used := map[int]bool{}
	for range 2000 {
		port, err := freeTCP()
		if err != nil {
			t.Fatal(err)
		}
		if port < 1024 || port >= 32768 {
			t.Fatalf("port %d is one that outgoing connections may take", port)
		}
		// Two listeners of a site must not get the same port.
		if used[port] {
			t.Fatalf("port %d was given twice", port)
		}
		used[port] = true
	}
}
