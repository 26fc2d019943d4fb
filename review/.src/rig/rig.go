// Command rig runs one case of the review: it starts a small deployment of stand-ins on
// loopback, the entry VMs as separate processes with the command of the deploy file, and
// the clients of the case, and writes what was sent, answered and run.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/proof/fleet"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	readyWithin = 20 * time.Second
)

// A rig is a running deployment.
type rig struct {
	site    *fleet.Site
	folder  string
	trouble bool
	vms     []*exec.Cmd
	began   time.Time
	// prepare, if not nil, runs after the stand-ins are started and before the VMs.
	prepare func() error

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// extra holds settings of kabinen-suche that BootSpec does not write.
const extra = `role=entry
machineClass=frontend
serves=frontend
faultCounted=true
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
discovery=platform
entry=vip
heartbeatMs=1200
faultTolerance.machines=2
faultTolerance.zones=1
bounds.stableWindowMs=4000
bounds.drainMs=3000
bounds.lossSlackMs=200
platform.form=objects
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
`

// startVM starts an entry VM with the command of the deploy file.
func (r *rig) startVM(i int) error {
	boot := r.site.Boots[i]
	path := filepath.Join(r.folder, boot.VM+".conf")
	if err := os.WriteFile(path, []byte(boot.Text()+extra), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.folder, boot.VM+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command("target/carawaycross", "entry")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.folder, platform.BootVariable + "=" + path}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	r.vms[i] = c
	r.note("%s started", boot.VM)
	return nil
}

// killVM sends SIGKILL to an entry VM and waits for its end.
func (r *rig) killVM(i int) {
	if c := r.vms[i]; c != nil {
		_ = c.Process.Kill()
		_ = c.Wait()
		r.vms[i] = nil
	}
}

func (r *rig) front(i int) string {
	return fmt.Sprintf("%s:%d", r.site.Boots[i].IP, r.site.Boots[i].Front)
}

// ready asks an entry VM as the load balancer does.
func (r *rig) ready(i int) bool {
	b := r.site.Boots[i]
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", b.IP, b.Ready, platform.ReadyPath))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *rig) awaitReady() error {
	until := time.Now().Add(readyWithin)
	for i := range r.vms {
		for !r.ready(i) {
			if time.Now().After(until) {
				return errors.New(r.site.Boots[i].VM + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// The figures of kabinen-suche: its machines, and the replicas of frontdesk.
const (
	siteVMs           = 5
	deskReplicas      = 23
	deskSlots         = 3
	deskConnections   = 38
	deskGoal          = 600 * time.Millisecond
	deskTimeout       = 10 * time.Second
	browseTimeout     = 2500 * time.Millisecond
	browseTop         = 20
	browseCoverage    = 0.89
	walkinTimeout     = time.Second
	siteGrace         = 6 * time.Second
	siteShards        = 10
	shardReplicas     = 3
	shardSlots        = 4
	shardConnections  = 35
	versionsPerChange = 4
)

// siteSpec returns the deployment of kabinen-suche. The service of the stand-ins that is not
// sharded stands for frontdesk.
func siteSpec() fleet.SiteSpec {
	spec := fleet.SmallSite()
	spec.Zones = []string{"zh-altstetten", "zh-oerlikon", "winterthur", "baden"}
	spec.VMs, spec.Shards, spec.Replicas, spec.Slots, spec.Connections = siteVMs, siteShards, shardReplicas, shardSlots, shardConnections
	spec.DeskReplicas = deskReplicas
	return spec
}

// adapt gives the routes and services of the stand-ins the figures of kabinen-suche.
func (r *rig) adapt() error {
	for i := range r.site.Boots {
		r.site.Boots[i].Grace = siteGrace
	}
	next := r.site.Configuration
	next.Version += versionsPerChange
	for i := range next.Routes {
		q := &next.Routes[i]
		switch {
		case q.Name == "sweep":
			q.Timeout, q.Top, q.LeastCoverage = browseTimeout, browseTop, browseCoverage
		case q.Name == "urgent":
			q.Timeout = walkinTimeout
		default:
			q.Timeout, q.Goal = deskTimeout, deskGoal
		}
	}
	for i := range next.Services {
		if next.Services[i].ID == fleet.Desk {
			next.Services[i].Connections = deskConnections
		}
	}
	return r.site.Configure(next)
}

// start starts the deployment and waits until each VM is ready.
func (r *rig) start(spec fleet.SiteSpec) error {
	var err error
	if r.site, err = fleet.StartSite(spec); err != nil {
		return err
	}
	if err := r.adapt(); err != nil {
		return err
	}
	if r.prepare != nil {
		if err := r.prepare(); err != nil {
			return err
		}
	}
	r.vms = make([]*exec.Cmd, len(r.site.Boots))
	for i := range r.vms {
		if err := r.startVM(i); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

func (r *rig) stop() {
	for i := range r.vms {
		r.killVM(i)
	}
	if r.site != nil {
		_ = r.site.Close()
	}
}

// A scenario returns whether the rule was broken.
type scenario func(r *rig) (broken bool, err error)

var scenarios = map[string]scenario{"half-close": halfClose, "crasher": crasher, "alone": alone, "history": history}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO FOLDER RECORD")
		os.Exit(exitCannot)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

func run(s scenario, folder, recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer record.Close()
	r := &rig{folder: folder, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	defer r.stop()
	broken, err := s(r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitCannot
	case broken:
		r.note("the rule was broken")
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}
