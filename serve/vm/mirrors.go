package vm

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/rollout"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/clock"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/mirror"
	"carawaycross.example/carawaycross/serve/peer"
	"carawaycross.example/carawaycross/serve/watch"
)

// mirrors holds the readers through which a VM reads the store, directly or from a
// mirror, and the functions that answer the questions of other VMs.
type mirrors struct {
	// prober detects a store that no longer responds and cancels the calls to it.
	prober *watch.Prober
	// alwaysReadStore is true if the VM reads the store and no mirror, because a change
	// must be in force before a silent mirror would be detected reliably.
	alwaysReadStore bool
	selector        *mirror.Selector
	identity        *peer.Pinned
	readers         readers
	// answerFuncs maps each kind to the function that answers questions about it. It is
	// only written before the transport starts.
	answerFuncs map[string]func(context.Context, mirror.Question) mirror.Answer[[]byte]
	// monitors holds one for each kind. It is only written before the transport starts.
	monitors map[string]*kindMonitor
	// listed describes the last list of VMs. It is only accessed by updateMirrors.
	listed *vmList
	// clock measures the age of objects.
	clock *clock.Continuous
}

// readers holds one reader per kind of object.
type readers struct {
	replicas       *mirror.Reader[catalogue.Replica]
	configurations *mirror.Reader[catalogue.Configuration]
	zonesOut       *mirror.Reader[ident.ZoneID]
	presets        *mirror.Reader[[]byte]
	// orders is nil if the settings set no bounds for rollouts.
	orders *mirror.Reader[rollout.Order]
}

// startMirrors creates the readers and starts the transport that receives the questions
// of other VMs. It sets self.Address.
func (v *VM) startMirrors(self *roster.Member) error {
	d := v.discovery
	self.Address = v.settings.Message.Vm.Listen
	m := &mirrors{
		selector: mirror.NewSelector(mirror.Member{VM: self.VM, Zone: self.Zone}, d.Region),
		prober:   &watch.Prober{}, clock: &clock.Continuous{},
		alwaysReadStore: float64(watch.SilenceDetectionTime) > maxDetectionFraction*float64(d.ApplyWithin),
	}
	if m.alwaysReadStore {
		m.selector.AlwaysReadStore()
	}
	m.prober.Now = m.clock.Now
	m.answerFuncs = map[string]func(context.Context, mirror.Question) mirror.Answer[[]byte]{}
	m.monitors = map[string]*kindMonitor{}
	m.readers = readers{
		replicas: newReader(v, m, d.Replicas, checkedCurrent, mirror.Codec[catalogue.Replica]{
			Marshal:   func(r catalogue.Replica) ([]byte, error) { return codec.MarshalReplica(v.clock.Now(), r) },
			Unmarshal: func(b []byte) (catalogue.Replica, error) { return codec.UnmarshalReplica(v.clock.Now(), b) },
		}),
		configurations: newReader(v, m, d.Configurations, checkedCurrent, mirror.Codec[catalogue.Configuration]{
			Marshal: codec.MarshalRoutes, Unmarshal: codec.UnmarshalRoutes,
		}),
		zonesOut: newReader(v, m, d.ZonesOut, checkedStale, mirror.Codec[ident.ZoneID]{
			Marshal:   func(z ident.ZoneID) ([]byte, error) { return []byte(z), nil },
			Unmarshal: func(b []byte) (ident.ZoneID, error) { return ident.ZoneID(b), nil },
		}),
		presets: newReader(v, m, d.Presets, probedInTurn, mirror.Codec[[]byte]{
			Marshal:   func(b []byte) ([]byte, error) { return b, nil },
			Unmarshal: func(b []byte) ([]byte, error) { return b, nil },
		}),
	}
	v.addOrderReader(m)
	v.mirrors = m
	var err error
	if m.identity, err = peer.NewPinned(self.VM, m.selector.Certificate, v.acceptUnlisted); err != nil {
		return &Error{"peers", CannotStart, err}
	}
	if v.peers, err = peer.Listen(self.Address, m.identity, peerHandler{v}); err != nil {
		return &Error{"peers", CannotStart, err}
	}
	v.control.peers, v.control.routesFreshness = v.peers, m.readers.configurations.Freshness
	return nil
}

// A checkMode is how a VM that reads the store checks for changes that a watch did not return.
type checkMode uint8

const (
	// probedInTurn means stale reads in turn with those of other kinds.
	probedInTurn checkMode = iota
	// checkedStale means stale reads at an interval, for a bound longer than
	// Discovery.ApplyWithin.
	checkedStale
	// checkedCurrent means reads at an interval that miss nothing.
	checkedCurrent
)

// newReader returns a Reader of a source of the store and registers the functions that
// answer questions about it.
func newReader[T any](v *VM, m *mirrors, source watch.Probeable[T], mode checkMode, valueCodec mirror.Codec[T]) *mirror.Reader[T] {
	guarded := &watch.Guarded[T]{Probeable: source, Prober: m.prober, StaleChecks: mode == checkedStale}
	if mode != probedInTurn {
		guarded.CheckInterval = time.Duration(checkFraction * float64(v.discovery.ApplyWithin))
	}
	observed := observedSource[T]{Source: guarded, behind: v.logWatchBehind}
	r := mirror.NewReader[T](observed, valueCodec, m.selector, mirrorClient{v})
	guarded.Confirmed = r.Confirm
	r.Now = m.clock.Now
	r.MaxAge = time.Duration(maxAgeFraction * float64(v.discovery.ApplyWithin))
	r.Unreadable, r.ReadThroughOthers, r.OutageEnded = v.logUnreadable, v.logDetour, v.logOutage
	if v.discovery.FirstStart {
		r.InitialListWait = mirror.InitialListWait
	}
	monitor := &kindMonitor{kind: r.Kind(), freshness: r.Freshness}
	r.OnPathChange(func(c mirror.PathChange) {
		monitor.pathChanges.Add(1)
		v.logPathChange(c)
	})
	m.answerFuncs[r.Kind()], m.monitors[r.Kind()] = r.Answer, monitor
	return r
}

// acceptUnlisted handles a certificate of a VM that is not the listed one: the VM may have
// restarted. It asks for a new list of VMs, and accepts the certificate if this VM has lost
// its path to the store and to its mirrors and so can't get one. It then trusts the address, as
// that of the store itself.
func (v *VM) acceptUnlisted(vm ident.VMID, dialled bool) bool {
	select {
	case v.listOutdated <- struct{}{}:
	default:
	}
	configurations := v.mirrors.readers.configurations
	accept := dialled && configurations.Freshness().Version > 0 && !configurations.Connected()
	v.log.Info().Str("vm", string(vm)).Bool("accepted", accept).Msg("certificate-not-listed")
	return accept
}

func (v *VM) logUnreadable(kind, name string, err error) {
	v.log.Warn().Str("kind", kind).Str("name", name).Err(err).Msg("mirrored-entry-not-read")
}

func (v *VM) logDetour(d mirror.Detour) {
	v.log.Warn().Str("kind", d.Kind).Interface("path", d.Path).Uint64("after", uint64(d.After)).
		Uint64("version", uint64(d.Version)).AnErr("store-error", d.StoreErr).Msg("read-through-others")
}

func (v *VM) logOutage(o mirror.Outage) {
	v.log.Info().Str("kind", o.Kind).Int64("lasted-ms", o.Lasted.Milliseconds()).Int("silent", o.Silent).Int("rejected", o.Rejected).
		Int64("age-ms", o.Age.Milliseconds()).
		Int("store-calls", o.StoreCalls).Int("deferred", o.Deferred).Interface("path", o.Path).Msg("path-regained")
}

// updateMirrors passes the listed VMs that are not shutting down to the selector.
func (v *VM) updateMirrors(vms []platform.ListedVM) {
	if v.mirrors == nil {
		return
	}
	members := make([]mirror.Member, 0, len(vms))
	for _, vm := range vms {
		if !vm.Leaving {
			members = append(members, mirror.Member{
				VM: ident.VMID(vm.Name), Zone: ident.ZoneID(vm.Zone), Address: vm.Address, Certificate: vm.Certificate,
			})
		}
	}
	v.mirrors.selector.SetMembers(members)
	v.logVMList(len(members))
}

// A vmList describes a list of VMs.
type vmList struct {
	// vms counts those that are not shutting down.
	vms int
	// position is the number of VMs of the region that precede this one in the order in which
	// VMs read from each other.
	position int
}

// logVMList logs the first list of VMs and each one that differs in what a vmList describes.
func (v *VM) logVMList(vms int) {
	position, _ := v.mirrors.selector.Position()
	if l := (vmList{vms, position}); v.mirrors.listed == nil || *v.mirrors.listed != l {
		v.mirrors.listed = &l
		v.log.Info().Int("vms", l.vms).Int("position", l.position).Msg("vms-listed")
	}
}

// answerQuestion returns the encoded answer to a mirror question of another VM.
func (v *VM) answerQuestion(ctx context.Context, m *schema.MirrorQuestion) []byte {
	q := mirror.QuestionOf(m)
	answer := mirror.Answer[[]byte]{Outcome: mirror.Disconnected}
	if v.mirrors != nil {
		if answerFunc, ok := v.mirrors.answerFuncs[q.Kind]; ok {
			answer = answerFunc(ctx, q)
		}
	}
	body, err := mirror.MarshalAnswer(answer)
	if err != nil {
		v.log.Error().Err(err).Str("kind", q.Kind).Msg("mirror-answer-not-encoded")
		return nil
	}
	return body
}

// mirrorClient sends mirror questions to other VMs.
type mirrorClient struct{ vm *VM }

var errNoAnswer = errors.New("the mirror did not answer")

// Ask sends a question to a mirror and logs the error if the mirror failed to answer.
func (c mirrorClient) Ask(ctx context.Context, to mirror.Member, q mirror.Question) (mirror.Answer[[]byte], error) {
	answer, err := c.ask(ctx, to, q)
	if err != nil && !gaveUp(ctx, err) {
		c.vm.log.Warn().Str("vm", string(to.VM)).Str("kind", q.Kind).Err(err).Msg("mirror-lost")
	}
	return answer, err
}

// gaveUp reports whether a call failed because this VM no longer wanted its result: it
// stops, or another VM answered first. A deadline that passed is a failure of the other side.
func gaveUp(ctx context.Context, err error) bool {
	var e *peer.Error
	return errors.Is(ctx.Err(), context.Canceled) || (errors.As(err, &e) && e.Kind == peer.Closed)
}

func (c mirrorClient) ask(ctx context.Context, to mirror.Member, q mirror.Question) (mirror.Answer[[]byte], error) {
	body, err := proto.Marshal(&schema.PeerCall{Mirror: mirror.QuestionMessage(q)})
	if err != nil {
		return mirror.Answer[[]byte]{}, err
	}
	answer, err := c.vm.peers.Call(ctx, to.VM, to.Address, body)
	if err == nil && len(answer) == 0 {
		err = errNoAnswer
	}
	if err != nil {
		return mirror.Answer[[]byte]{}, err
	}
	return mirror.UnmarshalAnswer(answer)
}
