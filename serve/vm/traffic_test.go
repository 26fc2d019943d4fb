package vm_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	"carawaycross.example/carawaycross/proof/standin"
	"carawaycross.example/carawaycross/schema"
)

const loadWorkers = 8

// searchCounts holds the number of searches, and of those without a complete answer.
type searchCounts struct{ searches, incomplete int }

// startLoad sends searches with a deadline through one VM until stop is called. stop
// returns the counts.
func (d *deployment) startLoad(i int, deadline time.Duration) (stop func() searchCounts) {
	ctx, cancel := context.WithCancel(context.Background())
	var searches, incomplete atomic.Int64
	ended := make(chan struct{}, loadWorkers)
	for range loadWorkers {
		go func() {
			defer func() { ended <- struct{}{} }()
			for ctx.Err() == nil {
				searches.Add(1)
				m := search()
				m.Deadline = durationpb.New(deadline)
				answer, err := d.clients[i].Search(context.Background(), m)
				if err != nil || len(answer.ShardsCovered) != int(answer.ShardsWanted) {
					incomplete.Add(1)
				}
			}
		}()
	}
	return func() searchCounts {
		cancel()
		for range loadWorkers {
			<-ended
		}
		return searchCounts{int(searches.Load()), int(incomplete.Load())}
	}
}

var _ = Describe("traffic", func() {
	It("shuts down without failing a request", func() {
		d := startAll()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var failed atomic.Int64
		ended := make(chan struct{}, loadWorkers)
		for range loadWorkers {
			go func() {
				defer func() { ended <- struct{}{} }()
				for ctx.Err() == nil {
					// A balancer sends new requests to ready VMs only.
					if !d.vms[0].Ready() {
						return
					}
					if _, err := d.clients[0].Search(context.Background(), search()); err != nil {
						failed.Add(1)
					}
				}
			}()
		}
		time.Sleep(200 * time.Millisecond)
		Expect(d.vms[0].Stop(context.Background())).To(Succeed())
		for range loadWorkers {
			<-ended
		}
		Expect(failed.Load()).To(BeZero())
		d.vms[0] = nil
	})

	It("sends no new requests to a draining upstream after 2 s, through any VM", func() {
		d := startAll()
		stop := []func() searchCounts{d.startLoad(0, time.Second), d.startLoad(1, time.Second), d.startLoad(2, time.Second)}
		time.Sleep(200 * time.Millisecond)
		u := d.Upstream("route-planner-1-0")
		u.SetDraining(true)
		timer := newStopwatch()
		time.Sleep(3 * time.Second)
		for _, s := range stop {
			Expect(s().incomplete).To(BeZero())
		}
		Expect(timer.until(u.Totals().LastStart)).To(BeNumerically("<", inForceWithin))
		refusedBefore := u.Totals().Refused
		_, err := d.clients[0].Search(context.Background(), search())
		Expect(err).NotTo(HaveOccurred())
		Expect(u.Totals().Refused).To(Equal(refusedBefore), "no request was sent to the draining upstream")
	})

	It("marks an upstream that the platform lists as leaving", func() {
		d := startAll()
		d.Platform.SetVM("route-planner-2-1", true)
		d.eventually(func(s *schema.Status) bool {
			for _, u := range s.Upstreams {
				if u.Replica == "route-planner-2-1" && u.Condition == "leaving" {
					return true
				}
			}
			return false
		}, 2*inForceWithin)
	})

	It("keeps the connections to each upstream within its limit", func() {
		d := startAll()
		stop := []func() searchCounts{d.startLoad(0, time.Second), d.startLoad(1, time.Second), d.startLoad(2, time.Second)}
		time.Sleep(time.Second)
		for _, s := range stop {
			Expect(s().incomplete).To(BeZero())
		}
		for _, u := range d.Upstreams {
			Expect(u.Totals().MaxOpen).To(BeNumerically("<=", 35), u.Name())
		}
	})

	It("refuses a request that crashes upstreams and serves other requests", func() {
		d := startAll()
		ctx := context.Background()
		bad := search()
		bad.Query = []byte(standin.CrashWord)
		crashes := func() int {
			n := 0
			for _, u := range d.Upstreams {
				n += u.Totals().Crashes
			}
			return n
		}
		_, _ = d.clients[0].Search(ctx, bad)
		_, _ = d.clients[0].Search(ctx, bad)
		_, err := d.clients[0].Search(ctx, bad)
		Expect(refusal(err).Reason).To(Equal("request-crashes-upstreams"))
		Expect(crashes()).To(BeNumerically("<=", 6), "one for each shard, and one canary per send")
		answer, err := d.clients[0].Search(ctx, search())
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.ShardsCovered).To(HaveLen(4))
		Eventually(func() string {
			_, err := d.clients[1].Search(ctx, bad)
			return refusal(err).Reason
		}).WithTimeout(inForceWithin).Should(Equal("request-crashes-upstreams"))
		// Sends through the other VM may have crashed more upstreams before it received
		// the news. Other requests are still answered, and completely once the upstreams
		// have restarted.
		_, err = d.clients[0].Search(ctx, search())
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() []uint32 {
			answer, err := d.clients[0].Search(ctx, search())
			Expect(err).NotTo(HaveOccurred())
			return answer.ShardsCovered
		}).WithTimeout(maxStall).Should(HaveLen(4))
	})

	It("ramps up the load on a restarted upstream without overloading it", func() {
		d := startAll()
		// On a busy machine, searches may take seconds.
		const deadline = 10 * time.Second
		stop := []func() searchCounts{d.startLoad(0, deadline), d.startLoad(1, deadline), d.startLoad(2, deadline)}
		u := d.Upstream("route-planner-0-1")
		Expect(u.Close()).To(Succeed())
		time.Sleep(300 * time.Millisecond)
		Expect(u.Restart()).To(Succeed())
		time.Sleep(3 * time.Second)
		var sum searchCounts
		for _, s := range stop {
			t := s()
			sum = searchCounts{sum.searches + t.searches, sum.incomplete + t.incomplete}
		}
		Expect(float64(sum.incomplete)).To(BeNumerically("<=", 0.001*float64(sum.searches)), "of %d", sum.searches)
		Expect(u.Totals().Overloads).To(BeZero())
	})

	It("answers invalid requests with the reason", func() {
		d := startAll()
		post := func(contentType, body string) (int, string) {
			response, err := http.Post("http://"+d.vms[0].Address()+"/v1/search", contentType, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			text := make([]byte, 1<<12)
			n, _ := response.Body.Read(text)
			return response.StatusCode, string(text[:n])
		}
		for _, c := range []struct {
			kind, body string
			status     int
			wantText   string
		}{
			{"application/json", `{"service":`, 400, "unexpected"},
			{"application/json", `{"nosuch": 1}`, 400, "unknown field"},
			{"application/json", `{"service": "route-planner", "deadline": "0s"}`, 400, "above 0"},
			{"application/json", `{"service": "route-planner", "deadline": "3600s"}`, 400, "at most 10s"},
			{"application/json", `{"service": "nosuch"}`, 404, "unknown-service"},
			{"application/json", `{"service": "route-planner", "wanted-coverage": 2}`, 400, "allowed 0 to 1"},
			{"text/plain", `hello`, 400, "content-type"},
			{"application/json", `{"query": "` + strings.Repeat("A", 2<<20) + `"}`, 400, "too-large"},
		} {
			status, text := post(c.kind, c.body)
			Expect(status).To(Equal(c.status), text)
			Expect(text).To(ContainSubstring(c.wantText))
			Expect(text).To(ContainSubstring("not-run"))
		}
		status, text := post("application/json", `{"service": "route-planner", "query": "bnV0cw=="}`)
		Expect(status).To(Equal(200), text)
	})
})

var _ = Describe("bookings", func() {
	ctx := context.Background()

	It("run exactly once when they are resent through other VMs", func() {
		d := startAll()
		ticket, err := d.clients[0].Ticket(ctx)
		Expect(err).NotTo(HaveOccurred())
		for _, key := range []string{ticket, callerKey()} {
			ran := 0
			for _, c := range d.clients {
				if _, err := c.Book(ctx, booking(key)); err == nil {
					ran++
				} else {
					Expect(refusal(err).Outcome).To(Equal("may-have-run"))
				}
			}
			Expect(ran).To(BeNumerically(">=", 1))
			Expect(d.runs(key)).To(Equal(1))
		}
	})

	It("with a ticket do not need the platform, and with a caller's own key are refused while it is unreachable", func() {
		d := startAll()
		d.Platform.SetFaults(standin.PlatformFaults{Down: true})
		ticket, err := d.clients[1].Ticket(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = d.clients[2].Book(ctx, booking(ticket))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.runs(ticket)).To(Equal(1))
		own := callerKey()
		_, err = d.clients[0].Book(ctx, booking(own))
		Expect(refusal(err).Outcome).To(Equal("may-have-run"))
		Expect(d.runs(own)).To(BeZero())
		d.Platform.SetFaults(standin.PlatformFaults{})
		Eventually(func() error {
			_, err := d.clients[0].Book(ctx, booking(own))
			return err
		}).WithTimeout(5 * time.Second).Should(Succeed())
		Expect(d.runs(own)).To(Equal(1))
	})

	It("run once when the answer to the claim is lost after the claim was stored", func() {
		d := startAll()
		d.Platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		key := callerKey()
		_, err := d.clients[0].Book(ctx, booking(key))
		Expect(err).NotTo(HaveOccurred())
		for _, c := range d.clients {
			_, _ = c.Book(ctx, booking(key))
		}
		Expect(d.runs(key)).To(Equal(1))
	})

	It("are not run again after the VM that ran them restarts", func() {
		d := startAll()
		ticket, err := d.clients[0].Ticket(ctx)
		Expect(err).NotTo(HaveOccurred())
		own := callerKey()
		for _, key := range []string{ticket, own} {
			_, err = d.clients[0].Book(ctx, booking(key))
			Expect(err).NotTo(HaveOccurred())
		}
		d.stop(0)
		d.start(0)
		d.eventually(func(s *schema.Status) bool { return s.Ready }, startWithin)
		for _, key := range []string{ticket, own} {
			for _, c := range d.clients {
				_, err := c.Book(ctx, booking(key))
				Expect(refusal(err).Outcome).To(Equal("may-have-run"))
			}
			Expect(d.runs(key)).To(Equal(1))
		}
	})

	It("with a forged or malformed key are refused with outcome not-run", func() {
		d := startAll()
		ticket, err := d.clients[0].Ticket(ctx)
		Expect(err).NotTo(HaveOccurred())
		withoutNumber := ticket[:strings.LastIndex(ticket, ".")]
		for _, key := range []string{withoutNumber + ".999", withoutNumber, "order-77", fmt.Sprintf("%d-", time.Now().UnixMilli())} {
			_, err := d.clients[0].Book(ctx, booking(key))
			Expect(refusal(err).Outcome).To(Equal("not-run"), key)
			Expect(d.runs(key)).To(BeZero())
		}
	})
})
