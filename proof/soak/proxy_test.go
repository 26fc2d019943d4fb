package soak

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// newProxied returns a proxy of a server that responds at once, and a client with one open
// connection through it.
func newProxied(t *testing.T) (*Proxy, *http.Client) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	t.Cleanup(server.Close)
	p, err := NewProxy(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	t.Cleanup(transport.CloseIdleConnections)
	c := &http.Client{Transport: transport, Timeout: 300 * time.Millisecond}
	if status := get(c, p); status != http.StatusOK {
		t.Fatalf("status %d through the proxy", status)
	}
	return p, c
}

// get returns the status of a response, or 0 without one.
func get(c *http.Client, p *Proxy) int {
	response, err := c.Get("http://" + p.Address())
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func TestStalledConnectionStaysSilentAndNewOnesWork(t *testing.T) {
	p, c := newProxied(t)
	if n := p.Stall(func(waiting bool) bool { return waiting }); n != 0 {
		t.Errorf("%d connections wait, found none", n)
	}
	if n := p.Stall(func(bool) bool { return true }); n != 1 {
		t.Errorf("%d connections stalled, 1 is open", n)
	}
	if status := get(c, p); status != 0 {
		t.Errorf("status %d on a stalled connection", status)
	}
	if status := get(c, p); status != http.StatusOK {
		t.Errorf("status %d on a new connection", status)
	}
}

func TestModesThatRefuse(t *testing.T) {
	for mode, want := range map[Mode]int{ResetAll: 0, Closed: 0, Silent: 0, Unavailable: 503, Limited: 429} {
		t.Run(mode.String(), func(t *testing.T) {
			p, c := newProxied(t)
			if err := p.SetMode(mode); err != nil {
				t.Fatal(err)
			}
			for range 2 {
				if status := get(c, p); status != want {
					t.Errorf("status %d, want %d", status, want)
				}
			}
			if err := p.SetMode(Pass); err != nil {
				t.Fatal(err)
			}
			if status := get(c, p); status != http.StatusOK {
				t.Errorf("status %d after the refusal", status)
			}
		})
	}
}

func TestHoldNewLeavesOpenConnections(t *testing.T) {
	p, open := newProxied(t)
	if err := p.SetMode(HoldNew); err != nil {
		t.Fatal(err)
	}
	if status := get(open, p); status != http.StatusOK {
		t.Errorf("status %d on an open connection", status)
	}
	other := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 300 * time.Millisecond}
	if status := get(other, p); status != 0 {
		t.Errorf("status %d on a new connection", status)
	}
}
