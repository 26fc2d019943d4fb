package crowd_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/serve/settings"
)

// The limits in the settings of the product's own front.
const (
	ownConnections = 100
	ownMemory      = 4 << 20
	// otherSockets is room for the connections to replicas, the store and other VMs.
	otherSockets = 100
)

// ownTarget starts a VM that serves the product's own API.
func ownTarget(t *testing.T) (p *target, address string) {
	t.Helper()
	spec := fleet.Association()
	spec.VMs = 1
	spec.Services = []fleet.ServiceSpec{{Name: "kitchen-desk", Shards: 1, Replicas: 3, Slots: 4, Connections: 30, ServiceTime: 5 * time.Millisecond}}
	f, err := fleet.Start(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address = l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	m := f.Settings[0]
	m.Vm.Listen, m.Vm.CallerConnections, m.Vm.RequestMemoryBytes = address, ownConnections, ownMemory
	text, err := settings.Format(m)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(program, "serve", "--settings", path)
	// These settings do not name the machine's memory.
	command.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%dMiB", memoryMB*3/4))
	p = newTarget(t, command)
	p.listenOn(address)
	p.await("ready", func() bool { return p.get(address, "/readyz", "") == http.StatusOK })
	return p, address
}

// TestOwnFront has large bodies, and connections that ask nothing, at the product's own
// API.
func TestOwnFront(t *testing.T) {
	head := fmt.Sprintf("POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", operatorBodyBytes)
	for name, send := range map[string]caller{
		"large bodies":            wholeBody(head, operatorBodyBytes, operatorBodyBytes),
		"connections ask nothing": func(net.Conn, bool) {},
	} {
		t.Run(name, func(t *testing.T) {
			p, address := ownTarget(t)
			leave := crowd(t, p, address, send)
			for range 2 {
				search(p, address)
				if sockets, _ := p.descriptors(); sockets > ownConnections+otherSockets {
					t.Errorf("%d sockets open, allowed: %d", sockets, ownConnections+otherSockets)
				}
				p.expectWithinBounds()
				leave()
			}
			t.Logf("peak memory %d MB", p.peakMemory())
		})
	}
}

// search sends one ordinary search.
func search(p *target, address string) {
	p.t.Helper()
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+address+"/v1/search", "application/json", strings.NewReader(`{"service": "kitchen-desk", "deadline": "10s"}`))
	if err != nil {
		p.t.Error(err)
		return
	}
	if _ = r.Body.Close(); r.StatusCode != http.StatusOK {
		p.t.Errorf("an ordinary search: status %d", r.StatusCode)
	}
}
