package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"carawaycross.example/carawaycross/core/preset"
	"carawaycross.example/carawaycross/proof/standin"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/peer"
	"carawaycross.example/carawaycross/serve/settings"
)

const (
	loopback = "127.0.0.1:0"
	// upstreamLoopback is the address of stand-ins that restart. Outgoing connections have
	// the address 127.0.0.1, so none can take the port of a stand-in that is down.
	upstreamLoopback    = "127.0.0.2:0"
	certificateLifetime = 24 * time.Hour
)

// A Fleet is a running deployment of stand-ins.
type Fleet struct {
	Spec      Spec
	Platform  *standin.Platform
	Upstreams []*standin.Upstream
	// Settings holds one message for each entry VM.
	Settings []*schema.Settings
	folder   string
}

// Start starts the stand-ins and creates the VMs' settings and keys.
func Start(spec Spec) (*Fleet, error) {
	f := &Fleet{Spec: spec}
	if err := f.start(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.Platform, err = standin.NewPlatform(loopback); err != nil {
		return err
	}
	base := &schema.Settings{
		Deployment: f.Spec.Deployment, Zones: f.Spec.Zones,
		Platform: &schema.PlatformSettings{Address: f.Platform.Address()},
		Presets:  Presets(), FirstPreset: "ordinary", LogLevel: "error",
	}
	for _, s := range f.Spec.Services {
		m, err := f.startService(s)
		if err != nil {
			return err
		}
		base.Services = append(base.Services, m)
	}
	return f.makeSettings(base)
}

func (f *Fleet) startService(spec ServiceSpec) (*schema.ServiceSettings, error) {
	m := &schema.ServiceSettings{
		Name: spec.Name, Slots: uint32(spec.Slots), Connections: uint32(spec.Connections),
		ConnectionCost: durationpb.New(spec.ConnectionCost),
	}
	for shard := range spec.Shards {
		for i := range spec.Replicas {
			name := fmt.Sprintf("%s-%d-%d", spec.Name, shard, i)
			u, err := standin.NewUpstream(upstreamLoopback, standin.UpstreamConfig{
				Service: spec.Name, Name: name, Shard: uint32(shard), Slots: spec.Slots, Connections: spec.Connections,
				ConnectionCost: spec.ConnectionCost, ServiceTime: spec.ServiceTime, SlowShare: spec.SlowShare,
				Seed: f.Spec.Seed + uint64(len(f.Upstreams)),
			})
			if err != nil {
				return nil, err
			}
			f.Upstreams = append(f.Upstreams, u)
			m.Replicas = append(m.Replicas, &schema.ReplicaSettings{
				Name: name, Shard: uint32(shard), Address: u.Address(), Zone: f.Spec.Zones[i%len(f.Spec.Zones)],
			})
		}
	}
	return m, nil
}

// Presets returns the built-in presets, with which a new deployment starts.
func Presets() []*schema.Preset {
	var out []*schema.Preset
	for _, p := range preset.Builtin() {
		out = append(out, codec.PresetMessage(&p))
	}
	return out
}

func (f *Fleet) makeSettings(base *schema.Settings) error {
	folder, err := os.MkdirTemp("", "carawaycross-keys-")
	if err != nil {
		return err
	}
	f.folder = folder
	authority, err := peer.NewAuthority(f.Spec.Deployment)
	if err != nil {
		return err
	}
	var peers []*schema.PeerAddress
	for i := range f.Spec.VMs {
		address, err := freeUDP()
		if err != nil {
			return err
		}
		zone := f.Spec.Zones[i%len(f.Spec.Zones)]
		peers = append(peers, &schema.PeerAddress{Vm: fmt.Sprintf("entry-%d", i), Zone: zone, Address: address})
	}
	for i, self := range peers {
		keys, err := authority.Issue(folder, self.Vm, certificateLifetime)
		if err != nil {
			return err
		}
		m := proto.Clone(base).(*schema.Settings)
		m.Vm = &schema.VMSettings{Name: self.Vm, Zone: self.Zone, Listen: loopback}
		m.Peers = &schema.PeerSettings{
			Listen: self.Address, Certificate: keys.Certificate, Key: keys.Key, Authority: keys.Authority,
		}
		for j, other := range peers {
			if i != j {
				m.Peers.Seeds = append(m.Peers.Seeds, other)
			}
		}
		f.Settings = append(f.Settings, m)
		f.Platform.SetVM(self.Vm, false)
	}
	for _, u := range f.Upstreams {
		f.Platform.SetVM(u.Name(), false)
	}
	return nil
}

// freeUDP returns a loopback address whose port was free when it was checked.
func freeUDP() (string, error) {
	conn, err := net.ListenPacket("udp", loopback)
	if err != nil {
		return "", err
	}
	return conn.LocalAddr().String(), conn.Close()
}

// Checked returns the checked settings of VM i.
func (f *Fleet) Checked(i int) (*settings.Settings, error) {
	return settings.FromMessage(f.Settings[i].Vm.Name, f.Settings[i])
}

// Upstream returns the stand-in with that name, or nil.
func (f *Fleet) Upstream(name string) *standin.Upstream {
	for _, u := range f.Upstreams {
		if u.Name() == name {
			return u
		}
	}
	return nil
}

// Zone returns the zone of the replica with that name, or an empty string.
func (f *Fleet) Zone(name string) string {
	for _, s := range f.Settings[0].Services {
		for _, r := range s.Replicas {
			if r.Name == name {
				return r.Zone
			}
		}
	}
	return ""
}

// Close stops all stand-ins and removes the keys.
func (f *Fleet) Close() error {
	var err error
	for _, u := range f.Upstreams {
		err = errors.Join(err, u.Close())
	}
	if f.Platform != nil {
		err = errors.Join(err, f.Platform.Close())
	}
	if f.folder != "" {
		err = errors.Join(err, os.RemoveAll(f.folder))
	}
	return err
}
