package crowd_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/proof/fleet"
)

const (
	// The machine's limits in the settings file, which are the tests' bounds.
	memoryMB         = 96
	descriptors      = 700
	fileDescriptors  = 200
	patience         = 20 * time.Second
	requestTimeout   = 10 * time.Second
	pollInterval     = 20 * time.Millisecond
	orderBytes       = 1 << 10
	requestIDPattern = "%016x"
)

// program is the program under test. It is built without the race detector, whose own
// memory would make the bound meaningless, also when the tests run with it.
var program string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		folder, err := os.MkdirTemp("", "crowd")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(folder) }()
		program = filepath.Join(folder, "carawaycross")
		build := exec.Command("go", "build", "-o", program, "../../cmd/carawaycross")
		if out, err := build.CombinedOutput(); err != nil {
			panic(fmt.Sprintf("%v: %s", err, out))
		}
		return m.Run()
	}())
}

// A target is one entry VM that runs in a process of its own, with stand-ins of the store
// and of the replicas.
type target struct {
	t       *testing.T
	boot    platform.BootSpec
	command *exec.Cmd
	exited  chan error
	log     *bytes.Buffer
	// kept is an ordinary caller that keeps its connection.
	kept *http.Client
	ids  atomic.Uint64
	// ports are the addresses on which the process listens, as /proc/net/tcp has them.
	ports []string
}

// startTarget starts a VM and waits until it is ready. The test's end stops it.
func startTarget(t *testing.T) *target {
	t.Helper()
	spec := fleet.SmallSite()
	spec.VMs = 1
	site, err := fleet.StartSite(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = site.Close() })
	// The machine's speed must not decide whether a request is served.
	c := site.Configuration
	c.Version++
	for i := range c.Routes {
		c.Routes[i].Timeout = requestTimeout
	}
	if err := site.Configure(c); err != nil {
		t.Fatal(err)
	}
	boot := site.Boots[0]
	path := filepath.Join(t.TempDir(), "settings.conf")
	text := fmt.Sprintf("%slimits.memoryMb=%d\nlimits.maxFds=%d\n", boot.Text(), memoryMB, descriptors)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := newTarget(t, exec.Command(program, "entry", "--settings", path))
	p.boot = boot
	p.listenOn(p.front(), p.ready(), p.operator())
	p.await("ready", func() bool { return p.get(p.ready(), platform.ReadyPath, "") == http.StatusOK })
	p.expectKept(false)
	return p
}

// newTarget starts a process. The test's end stops it.
func newTarget(t *testing.T, command *exec.Cmd) *target {
	t.Helper()
	p := &target{
		t: t, command: command, exited: make(chan error, 1), log: &bytes.Buffer{},
		kept: &http.Client{Transport: &http.Transport{}},
	}
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- command.Wait() }()
	t.Cleanup(p.stop)
	return p
}

func (p *target) front() string    { return fmt.Sprintf("%s:%d", p.boot.IP, p.boot.Front) }
func (p *target) ready() string    { return fmt.Sprintf("%s:%d", p.boot.IP, p.boot.Ready) }
func (p *target) operator() string { return fmt.Sprintf("%s:%d", p.boot.IP, p.boot.Internal) }

func (p *target) stop() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	err := <-p.exited
	if p.t.Failed() {
		p.t.Logf("ended: %v; last lines of the log:\n%s", err, p.log.Bytes()[max(0, p.log.Len()-2000):])
	}
}

// await waits until a condition holds.
func (p *target) await(what string, holds func() bool) {
	p.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			p.t.Fatalf("not %s after %v", what, patience)
		}
	}
}

// get returns the status of one request on a new connection, or 0 without a response.
func (p *target) get(address, path, host string) int {
	r, err := platform.NewRequest(http.MethodGet, address, host, path, p.nextID(), requestTimeout)
	if err != nil {
		p.t.Fatal(err)
	}
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (p *target) nextID() string { return fmt.Sprintf(requestIDPattern, p.ids.Add(1)) }

// expectKept sends an ordinary request and checks whether it was sent on the connection
// that an earlier one left open.
func (p *target) expectKept(reused bool) {
	p.t.Helper()
	r, err := platform.NewRequest(http.MethodGet, p.front(), fleet.DeskHost, "/look/x", p.nextID(), requestTimeout)
	if err != nil {
		p.t.Fatal(err)
	}
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if i.Reused != reused {
			p.t.Errorf("a kept connection was reused: %v, expected %v", i.Reused, reused)
		}
	}}
	response, err := p.kept.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		p.t.Errorf("a request on a kept connection: %v", err)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		p.t.Errorf("a request on a kept connection: status %d", response.StatusCode)
	}
}

// expectOrder checks that an ordinary request with a body is served once.
func (p *target) expectOrder() {
	p.t.Helper()
	r, err := platform.NewRequest(http.MethodPost, p.front(), fleet.DeskHost, "/order/x", p.nextID(), requestTimeout)
	if err != nil {
		p.t.Fatal(err)
	}
	text := bytes.Repeat([]byte("x"), orderBytes)
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(text)), orderBytes
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		p.t.Errorf("an ordinary request with a body: %v", err)
		return
	}
	if _ = response.Body.Close(); response.StatusCode != http.StatusOK {
		p.t.Errorf("an ordinary request with a body: status %d", response.StatusCode)
	}
}

// expectSound checks that the process lives within its machine's memory and descriptors
// and answers ordinary callers, the load balancer and operators.
func (p *target) expectSound() {
	p.t.Helper()
	p.expectWithinBounds()
	if s := p.get(p.front(), "/look/x", fleet.DeskHost); s != http.StatusOK {
		p.t.Errorf("an ordinary request: status %d", s)
	}
	p.expectKept(true)
	p.expectOrder()
	if s := p.get(p.ready(), platform.ReadyPath, ""); s != http.StatusOK {
		p.t.Errorf("readiness check: status %d", s)
	}
	if s := p.get(p.operator(), "/status", ""); s != http.StatusOK {
		p.t.Errorf("status for operators: status %d", s)
	}
	p.expectWithinBounds()
}

func (p *target) expectWithinBounds() {
	p.t.Helper()
	select {
	case err := <-p.exited:
		p.exited <- err
		p.t.Fatalf("the process ended: %v", err)
	default:
	}
	sockets, all := p.descriptors()
	if sockets > descriptors-fileDescriptors || all > descriptors {
		p.t.Errorf("%d sockets of %d descriptors open, allowed: %d of %d", sockets, all, descriptors-fileDescriptors, descriptors)
	}
	if peak, unread := p.peakMemory(), p.unread(); peak+unread>>20 > memoryMB {
		p.t.Errorf("peak memory %d MB and %d KB unread in sockets, allowed: %d MB", peak, unread>>10, memoryMB)
	}
}

// unread returns the bytes that callers sent and the process has not read.
func (p *target) unread() (n int) {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		p.t.Fatal(err)
	}
	const listening = "0A"
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		// The fields are slot, local address, remote address, state and tx:rx.
		f := strings.Fields(lines.Text())
		if len(f) < 5 || f[3] == listening || !slices.Contains(p.ports, f[1]) {
			continue
		}
		_, rx, _ := strings.Cut(f[4], ":")
		bytes, err := strconv.ParseInt(rx, 16, 64)
		if err != nil {
			p.t.Fatal(err)
		}
		n += int(bytes)
	}
	return n
}

// listenOn records an address on which the process listens, as /proc/net/tcp has it.
func (p *target) listenOn(addresses ...string) {
	for _, address := range addresses {
		a := netip.MustParseAddrPort(address)
		ip := a.Addr().As4()
		p.ports = append(p.ports, fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip[:]), a.Port()))
	}
}

// descriptors returns the numbers of open sockets and of all open descriptors.
func (p *target) descriptors() (sockets, all int) {
	folder := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	entries, err := os.ReadDir(folder)
	if err != nil {
		p.t.Fatal(err)
	}
	for _, e := range entries {
		// A descriptor may be closed since it was listed.
		link, _ := os.Readlink(filepath.Join(folder, e.Name()))
		if strings.HasPrefix(link, "socket:") {
			sockets++
		}
	}
	return sockets, len(entries)
}

// peakMemory returns the largest resident size of the process so far, in MB.
func (p *target) peakMemory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for lines := bufio.NewScanner(bytes.NewReader(text)); lines.Scan(); {
		if f := strings.Fields(lines.Text()); len(f) == 3 && f[0] == "VmHWM:" {
			kb, err := strconv.Atoi(f[1])
			if err != nil {
				p.t.Fatal(err)
			}
			return kb >> 10
		}
	}
	p.t.Fatal("the process has no VmHWM")
	return 0
}
