package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A call is one attempt of a consumer.
type call struct {
	id, kind, vm string
	sent, ended  time.Time
	status       int
	// kept is true if the connection had carried a request before.
	kept bool
}

// A lab holds the processes and the stand-ins of one case, and its record.
type lab struct {
	folder  string
	trouble bool
	store   *store
	began   time.Time
	bounds  map[string]string
	// memoryMB is the memory of a machine.
	memoryMB int
	vms      []*machine

	mu     sync.Mutex
	calls  []call
	runs   []run
	notes  []note
	lastID int
	// stop is closed at the end of the traffic, and traffic waits for its goroutines.
	stop    chan struct{}
	traffic sync.WaitGroup
}

type note struct {
	at   time.Time
	text string
}

// theLab is the lab of this process, so that any failure can end the processes.
var theLab *lab

func newLab() *lab {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun("%v", err)
	}
	theLab = &lab{
		folder: folder, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), memoryMB: 544, stop: make(chan struct{}),
		bounds: map[string]string{
			"seedLagS": "3", "reuseAfterS": "2", "stableWindowMs": "4000", "ackMs": "5000", "catchUpS": "4", "drainMs": "3000",
			"graceS": "6", "lossSlackMs": "200", "configApplyMs": "3000", "downgradeSlackMs": "250", "skewMaxMs": "12000",
			"retryBudgetRatio": "0.2", "budgetWindowS": "10", "retryBudgetExtra": "52", "warmupFactor": "1.5",
			"warmupSlack": "5", "evacuateMs": "5000", "recoverS": "12",
		},
	}
	theLab.store = startStore()
	return theLab
}

func (l *lab) note(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.mu.Lock()
	l.notes = append(l.notes, note{time.Now(), text})
	l.mu.Unlock()
	fmt.Printf("%8.3f %s\n", time.Since(l.began).Seconds(), text)
}

func (l *lab) arrived(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *lab) nextID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return fmt.Sprintf("%016x", l.lastID)
}

func (l *lab) configure(version int, routes []map[string]any, services []string, tenants []map[string]any) time.Time {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "healthPath": "/health", "maxConnections": 550, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0,
		})
	}
	config := map[string]any{"version": version, "routes": routes, "services": list, "limits": map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}}
	if tenants != nil {
		config["tenants"] = tenants
	}
	spec, err := json.Marshal(config)
	if err != nil {
		cannotRun("%v", err)
	}
	at := l.store.set("config", "main", spec)
	l.note("operator: version %d acknowledged, %d bytes", version, len(spec))
	return at
}

func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "pathPrefix": prefix, "routeType": "idempotent", "timeoutMs": 2000,
		"targetLatencyMs": 300, "priority": 1, "service": service, "attempts": 2, "public": false,
	}
}

// A machine is one process of the program.
type machine struct {
	lab                    *lab
	name                   string
	front, ready, internal int
	command                *exec.Cmd
	exited                 chan struct{}
}

// The ports of the machines lie below those that the kernel gives to connections.
const firstPort, lastPort = 12000, 32000

// usedPorts holds the ports that freePort has returned.
var usedPorts = map[int]bool{}

// freePort returns a port that is free for TCP and UDP.
func freePort() int {
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if usedPorts[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			usedPorts[port] = true
			return port
		}
	}
	cannotRun("no free port")
	return 0
}

// start adds a machine and starts its process with the command of the deploy file.
func (l *lab) start(name string, bootstrap bool) *machine {
	m := &machine{lab: l, name: name, front: freePort(), ready: freePort(), internal: freePort()}
	l.vms = append(l.vms, m)
	m.run(bootstrap)
	return m
}

// run writes the settings and starts the process.
func (m *machine) run(bootstrap bool) {
	l := m.lab
	settings := fmt.Sprintf(`nodeName=%s
role=entry
machineClass=frontend
serves=frontend
ip=127.0.0.1
zone=zone-a
region=region-a
zones.zone-a=region-a
zones.zone-b=region-a
listenAddrs.front=127.0.0.1:%d
listenAddrs.ready=127.0.0.1:%d
internalPorts=%d,%d
seeds=
bootstrap=%v
faultCounted=false
limits.cpuShare=0.8
limits.cores=1
limits.memoryMb=%d
limits.maxFds=8200
limits.linkMbps=2000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,scatter,places,platform
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
platform.address=%s
platform.form=objects
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
`, m.name, m.front, m.ready, m.internal, m.internal, bootstrap, l.memoryMB, l.store.address)
	for k, v := range l.bounds {
		settings += "bounds." + k + "=" + v + "\n"
	}
	path := filepath.Join(l.folder, m.name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(l.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	command, exited := exec.Command("target/carawaycross", "entry"), make(chan struct{})
	command.Env = append(os.Environ(), "CARAWAYCROSS_BOOT="+path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		cannotRun("%v", err)
	}
	m.command, m.exited = command, exited
	l.note("machine %s started", m.name)
	go func() {
		err := command.Wait()
		_ = log.Close()
		l.note("machine %s ended: %v", m.name, err)
		close(exited)
	}()
}

func (m *machine) signal(s syscall.Signal) {
	if err := m.command.Process.Signal(s); err != nil {
		cannotRun("signal: %v", err)
	}
	m.lab.note("machine %s: %v", m.name, s)
}

func (m *machine) awaitReady(within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d/api/ready", m.ready))
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			m.lab.note("machine %s is ready", m.name)
			return
		}
	}
	cannotRun("machine %s is not ready", m.name)
}

// send sends requests to a machine at a mean rate until the end of the traffic.
func (l *lab) send(m *machine, kind string, perSecond float64, path func() string, header map[string]string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	l.traffic.Add(1)
	go func() {
		defer l.traffic.Done()
		defer transport.CloseIdleConnections()
		var open sync.WaitGroup
		defer open.Wait()
		for next := time.Now(); ; {
			next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
			select {
			case <-time.After(time.Until(next)):
			case <-l.stop:
				return
			}
			open.Add(1)
			go func() {
				defer open.Done()
				l.request(transport, m, kind, path(), header)
			}()
		}
	}()
}

// request sends one request and records its answer.
func (l *lab) request(t *http.Transport, m *machine, kind, path string, header map[string]string) call {
	c := call{id: l.nextID(), kind: kind, vm: m.name}
	q, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://127.0.0.1:%d%s", m.front, path), nil)
	if err != nil {
		cannotRun("%v", err)
	}
	q.Host = "desk.example"
	q.Header.Set("Carawaycross-Request-Id", c.id)
	q.Header.Set("Carawaycross-Deadline-Ms", "2000")
	for k, v := range header {
		q.Header.Set(k, v)
	}
	q = q.WithContext(httptrace.WithClientTrace(q.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { c.kept = info.Reused },
	}))
	c.sent = time.Now()
	client := &http.Client{Transport: t, Timeout: 2 * time.Second}
	if r, err := client.Do(q); err == nil {
		if _, err = io.Copy(io.Discard, r.Body); err == nil {
			c.status = r.StatusCode
		}
		_ = r.Body.Close()
	}
	c.ended = time.Now()
	l.mu.Lock()
	l.calls = append(l.calls, c)
	l.mu.Unlock()
	return c
}

// stopTraffic ends the traffic and waits for the requests on their way.
func (l *lab) stopTraffic() {
	close(l.stop)
	l.traffic.Wait()
}

// killAll ends all processes that the lab started.
func (l *lab) killAll() {
	for _, m := range l.vms {
		_ = m.command.Process.Signal(syscall.SIGCONT)
		_ = m.command.Process.Kill()
	}
	for _, m := range l.vms {
		<-m.exited
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", l.folder)
		return
	}
	_ = os.RemoveAll(l.folder)
}

// finish writes the record, ends all processes and exits: with 1 if the rule was broken.
func (l *lab) finish(broken bool, format string, args ...any) {
	l.note(format, args...)
	l.killAll()
	l.writeRecord()
	if broken {
		fmt.Println("the rule was BROKEN")
		os.Exit(1)
	}
	fmt.Println("the rule held")
	os.Exit(0)
}

func (l *lab) writeRecord() {
	path := os.Getenv("RECORD")
	if path == "" {
		return
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer file.Close()
	type line struct {
		at   time.Time
		text string
	}
	l.mu.Lock()
	var lines []line
	for _, n := range l.notes {
		lines = append(lines, line{n.at, n.text})
	}
	for _, c := range l.calls {
		lines = append(lines, line{c.sent, fmt.Sprintf("sent %s %s to %s", c.id, c.kind, c.vm)})
		lines = append(lines, line{c.ended, fmt.Sprintf("answered %s %d", c.id, c.status)})
	}
	for _, r := range l.runs {
		verb := "run"
		if !r.ran {
			verb = fmt.Sprintf("turned away with %d", r.status)
		}
		lines = append(lines, line{r.at, fmt.Sprintf("%s %s by %s %s", verb, r.id, r.service, r.replica)})
	}
	l.mu.Unlock()
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	w := bufio.NewWriter(file)
	defer w.Flush()
	for _, x := range lines {
		fmt.Fprintf(w, "%.3f %s\n", x.at.Sub(l.began).Seconds(), x.text)
	}
}

// cannotRun ends all processes and exits with 2.
func cannotRun(format string, args ...any) {
	fmt.Println("cannot run:", strings.TrimSpace(fmt.Sprintf(format, args...)))
	if theLab != nil {
		theLab.killAll()
	}
	os.Exit(2)
}

func (l *lab) since(at time.Time) float64 { return at.Sub(l.began).Seconds() }
