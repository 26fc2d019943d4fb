package vm_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/types/known/durationpb"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/proof/fleet"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/client"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/vm"
)

func TestVM(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "one deployment over real sockets")
}

const (
	startWithin   = 10 * time.Second
	inForceWithin = 2 * time.Second
	pollInterval  = 10 * time.Millisecond
)

// A deployment consists of the stand-ins and the running entry VMs.
type deployment struct {
	*fleet.Fleet
	vms     []*vm.VM
	clients []*client.Client
}

// smallSpec returns a deployment with three zones and four shards.
func smallSpec() fleet.Spec {
	s := fleet.Association()
	s.Services = []fleet.ServiceSpec{
		{
			Name: "route-planner", Shards: 4, Replicas: 3, Slots: 4, Connections: 35,
			ConnectionCost: 6 * time.Millisecond, ServiceTime: 5 * time.Millisecond,
		},
		{
			Name: "kitchen-desk", Shards: 1, Replicas: 6, Slots: 6, Connections: 100,
			ConnectionCost: time.Millisecond, ServiceTime: 5 * time.Millisecond,
		},
	}
	return s
}

func startFleet(spec fleet.Spec) *deployment {
	f, err := fleet.Start(spec)
	Expect(err).NotTo(HaveOccurred())
	d := &deployment{Fleet: f, vms: make([]*vm.VM, spec.VMs), clients: make([]*client.Client, spec.VMs)}
	DeferCleanup(func() {
		for _, v := range d.vms {
			if v != nil {
				Expect(v.Close()).To(Succeed())
			}
		}
		Expect(f.Close()).To(Succeed())
	})
	return d
}

func startAll() *deployment {
	d := startFleet(smallSpec())
	for i := range d.vms {
		d.start(i)
	}
	d.eventually(func(s *schema.Status) bool { return s.Ready && len(s.Vms) == len(d.vms) }, startWithin)
	return d
}

func (d *deployment) start(i int) {
	s, err := d.Checked(i)
	Expect(err).NotTo(HaveOccurred())
	v, err := vm.Start(s, vm.Options{Log: zerolog.Nop()})
	Expect(err).NotTo(HaveOccurred())
	d.vms[i] = v
	d.clients[i] = &client.Client{Address: v.Address(), HTTP: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 100,
	}}}
}

func (d *deployment) stop(i int) {
	Expect(d.vms[i].Close()).To(Succeed())
	d.vms[i] = nil
}

// eventually waits until the status of every running VM satisfies ok, and requires that
// this takes at most within. The time during which the process was not scheduled is
// not counted.
func (d *deployment) eventually(ok func(*schema.Status) bool, within time.Duration) {
	GinkgoHelper()
	timer := newStopwatch()
	for i, v := range d.vms {
		if v == nil {
			continue
		}
		Eventually(func() bool { return ok(v.Status(context.Background())) }).
			WithTimeout(within+maxStall).WithPolling(pollInterval).Should(BeTrue(), "VM %d", i)
	}
	Expect(timer.elapsed()).To(BeNumerically("<=", within))
}

const (
	maxStall           = 30 * time.Second
	stallCheckInterval = 5 * time.Millisecond
	stallThreshold     = 50 * time.Millisecond
)

// stalled is the total time, in nanoseconds, by which a goroutine that only waits for a
// short timer was scheduled late.
var stalled atomic.Int64

var _ = BeforeSuite(func() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		last := time.Now()
		for clock.Sleep(ctx, stallCheckInterval) {
			now := time.Now()
			if gap := now.Sub(last); gap > stallThreshold {
				stalled.Add(int64(gap - stallCheckInterval))
			}
			last = now
		}
	}()
	DeferCleanup(func() { cancel(); <-ended })
})

// A stopwatch measures elapsed time without the stalls of the machine.
type stopwatch struct {
	began   time.Time
	stalled int64
}

func newStopwatch() stopwatch { return stopwatch{time.Now(), stalled.Load()} }

func (s stopwatch) elapsed() time.Duration { return s.until(time.Now()) }

// until returns the time from the start to t, or 0 if t is before the start.
func (s stopwatch) until(t time.Time) time.Duration {
	if t.Before(s.began) {
		return 0
	}
	return t.Sub(s.began) - time.Duration(stalled.Load()-s.stalled)
}

func search() *schema.SearchRequest {
	return &schema.SearchRequest{
		Service: "route-planner", Query: []byte("nuts"), Tenant: "allergy-desk", Class: "urgent",
		Deadline: durationpb.New(time.Second),
	}
}

func booking(key string) *schema.BookingRequest {
	return &schema.BookingRequest{
		Service: "kitchen-desk", Body: []byte("two lunches"), Tenant: "kitchens", RequestKey: key,
		Deadline: durationpb.New(time.Second),
	}
}

var changeCount int

func (d *deployment) change(i int, kind config.ChangeKind, subject string) (*schema.ChangeAnswer, error) {
	ctx := context.Background()
	current, err := d.clients[i].Configuration(ctx)
	Expect(err).NotTo(HaveOccurred())
	changeCount++
	return d.clients[i].Change(ctx, &schema.ChangeRequest{
		BasedOn: current.Version,
		Change:  &schema.Change{Id: fmt.Sprintf("change-%d", changeCount), Kind: string(kind), Subject: subject, Who: "test"},
	})
}

// runs returns how often the booking ran on all stand-ins together.
func (d *deployment) runs(key string) int {
	n := 0
	for _, u := range d.Upstreams {
		n += u.Runs(key)
	}
	return n
}

func callerKey() string { return fmt.Sprintf("%d-order", time.Now().UnixMilli()) }

func refusal(err error) *schema.Refusal {
	GinkgoHelper()
	var e *client.Error
	Expect(err).To(BeAssignableToTypeOf(e))
	e = err.(*client.Error)
	Expect(e.Refusal).NotTo(BeNil(), "%v", err)
	return e.Refusal
}
