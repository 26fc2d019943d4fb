package vm_test

import (
	"context"
	"errors"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"carawaycross.example/carawaycross/core/config"
	"carawaycross.example/carawaycross/proof/standin"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/client"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/peer"
	"carawaycross.example/carawaycross/serve/vm"
)

var _ = Describe("control", func() {
	It("puts a preset in force on all VMs, and a VM that starts while the platform is down receives it from peers", func() {
		d := startFleet(smallSpec())
		d.start(0)
		d.start(1)
		d.eventually(func(s *schema.Status) bool { return s.Ready }, startWithin)
		first, err := d.change(0, config.SwitchPreset, "peak")
		Expect(err).NotTo(HaveOccurred())
		d.eventually(func(s *schema.Status) bool { return s.Version == first.Version && s.Preset == "peak" }, inForceWithin)

		d.Platform.SetFaults(standin.PlatformFaults{Down: true})
		d.start(2)
		d.eventually(func(s *schema.Status) bool { return s.Ready && s.Version == first.Version }, startWithin)
		answer, err := d.clients[2].Search(context.Background(), search())
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.ShardsCovered).To(HaveLen(4))
		Expect(answer.Preset).To(Equal("peak"))
		_, err = d.change(2, config.SwitchPreset, "ordinary")
		var refused *client.Error
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Change.Reason).To(Equal("platform-unreachable"))

		d.Platform.SetFaults(standin.PlatformFaults{})
		second, err := d.change(2, config.SwitchPreset, "ordinary")
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Version).To(Equal(first.Version + 1))
		d.eventually(func(s *schema.Status) bool { return s.Version == second.Version && s.Preset == "ordinary" }, inForceWithin)
	})

	It("is not ready without a platform and peers, and reports this in its status", func() {
		d := startFleet(smallSpec())
		d.Platform.SetFaults(standin.PlatformFaults{Down: true})
		d.start(0)
		Consistently(d.vms[0].Ready).WithTimeout(time.Second).Should(BeFalse())
		status := d.vms[0].Status(context.Background())
		Expect(status.Advice).To(ContainElement(ContainSubstring("No configuration is known")))
		_, err := d.clients[0].Search(context.Background(), search())
		Expect(refusal(err).Reason).To(Equal("not-ready"))
	})

	It("reports the winner of conflicting changes to the loser, and recognises a repeated change", func() {
		d := startAll()
		ctx := context.Background()
		current, err := d.clients[0].Configuration(ctx)
		Expect(err).NotTo(HaveOccurred())
		won := &schema.ChangeRequest{BasedOn: current.Version, Change: &schema.Change{
			Id: "winner", Kind: string(config.SwitchPreset), Subject: "peak", Who: "anna",
		}}
		_, err = d.clients[0].Change(ctx, won)
		Expect(err).NotTo(HaveOccurred())
		_, err = d.clients[1].Change(ctx, &schema.ChangeRequest{BasedOn: current.Version, Change: &schema.Change{
			Id: "loser", Kind: string(config.ZoneOut), Subject: "okahandja", Who: "bert",
		}})
		var lost *client.Error
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(lost.Change.Reason).To(Equal("conflict"))
		Expect(lost.Change.Winner.Who).To(Equal("anna"))
		again, err := d.clients[1].Change(ctx, won)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.DoneBefore).To(BeTrue())
	})

	It("reports a change as done if the store's answer was lost", func() {
		d := startAll()
		d.Platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
		answer, err := d.change(0, config.SwitchPreset, "maintenance")
		Expect(err).NotTo(HaveOccurred())
		d.eventually(func(s *schema.Status) bool { return s.Version == answer.Version }, inForceWithin)
	})

	It("sends no new requests to a zone 2 s after it is taken out, and refuses to take out too much capacity", func() {
		d := startAll()
		stop := d.startLoad(0, time.Second)
		answer, err := d.change(0, config.ZoneOut, "windhoek-south")
		Expect(err).NotTo(HaveOccurred())
		timer := newStopwatch()
		time.Sleep(inForceWithin + 500*time.Millisecond)
		Expect(stop().incomplete).To(BeZero())
		for _, u := range d.Upstreams {
			if d.Zone(u.Name()) == "windhoek-south" {
				Expect(timer.until(u.Totals().LastStart)).To(BeNumerically("<", inForceWithin), u.Name())
			}
		}
		Expect(d.vms[1].Ready()).To(BeFalse(), "the entry VM of the zone must be out too")
		_, err = d.change(0, config.ZoneOut, "okahandja")
		var refused *client.Error
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Change.Detail).To(MatchRegexp(`\d+ of \d+ slots would be left`))
		back, err := d.change(2, config.ZoneIn, "windhoek-south")
		Expect(err).NotTo(HaveOccurred())
		Expect(back.Version).To(Equal(answer.Version + 1))
		d.eventually(func(s *schema.Status) bool { return s.Version == back.Version && s.Ready }, inForceWithin)
	})

	It("keeps its configuration when the store holds an older version, and repairs the store", func() {
		d := startAll()
		name := "association.configuration"
		oldVersion, oldValue := d.Platform.Object(name)
		answer, err := d.change(0, config.SwitchPreset, "peak")
		Expect(err).NotTo(HaveOccurred())
		d.eventually(func(s *schema.Status) bool { return s.Version == answer.Version }, inForceWithin)
		d.Platform.Revert(name, oldVersion+10, oldValue)
		Eventually(func() uint32 {
			_, value := d.Platform.Object(name)
			c, err := codec.UnmarshalConfiguration(value)
			Expect(err).NotTo(HaveOccurred())
			return uint32(c.Version)
		}).WithTimeout(startWithin).Should(Equal(answer.Version))
		for _, v := range d.vms {
			Expect(v.Status(context.Background()).Preset).To(Equal("peak"))
		}
	})

	It("sends no configuration to a peer with a certificate of another authority", func() {
		d := startAll()
		folder, err := os.MkdirTemp("", "carawaycross-stranger-")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, folder)
		stranger, err := peer.NewAuthority("stranger")
		Expect(err).NotTo(HaveOccurred())
		d.stop(2)
		keys, err := stranger.Issue(folder, "entry-2", time.Hour)
		Expect(err).NotTo(HaveOccurred())
		d.Settings[2].Peers.Certificate, d.Settings[2].Peers.Key, d.Settings[2].Peers.Authority = keys.Certificate, keys.Key, keys.Authority
		d.Platform.SetFaults(standin.PlatformFaults{Down: true})
		s, err := d.Checked(2)
		Expect(err).NotTo(HaveOccurred())
		v, err := vm.Start(s, vm.Options{Log: zerolog.Nop()})
		Expect(err).NotTo(HaveOccurred())
		d.vms[2] = v
		Consistently(v.Ready).WithTimeout(2 * time.Second).Should(BeFalse())
		Expect(v.Status(context.Background()).Version).To(BeZero())
	})
})
