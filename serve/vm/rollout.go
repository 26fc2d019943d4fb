package vm

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/rollout"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/mirror"
	"carawaycross.example/carawaycross/serve/watch"
)

const (
	// reportsPerBound is the number of reports within the time for a roll-back. Their
	// interval is at least minReportInterval and at most maxReportInterval.
	reportsPerBound   = 12
	minReportInterval = 100 * time.Millisecond
	maxReportInterval = time.Second
	// writeRepeat is the time after which a stage that was written is written again if the
	// VM has not read it.
	writeRepeat = 5 * time.Second
)

// A StageWriter writes the stage of an order to the store and returns the stage that the
// store holds then.
type StageWriter interface {
	WriteStage(ctx context.Context, name string, order rollout.OrderID, stage rollout.Stage) (rollout.Stage, error)
}

// A Rollouts connects a VM to the orders that move services to other versions. It is zero
// if the settings set no bounds for rollouts.
type Rollouts struct {
	Orders watch.Probeable[rollout.Order]
	Writer StageWriter
}

func (v *VM) orderHandler() watch.Handler[rollout.Order] {
	d := &dependency{vm: v, kind: v.discovery.Rollouts.Orders.Kind()}
	orders := map[string]rollout.Order{}
	publish := func(ctx context.Context) {
		list := make([]rollout.Order, 0, len(orders))
		for _, o := range orders {
			list = append(list, o)
		}
		v.updateControl(ctx, func(now ident.Instant, core *control.Core) {
			core.OrdersRead(now, list)
			v.logRollouts(core.RolloutEvents())
		})
	}
	return watch.Handler[rollout.Order]{
		Listed: func(ctx context.Context, items []platform.Change[rollout.Order]) {
			d.recordSuccess()
			clear(orders)
			for _, i := range items {
				orders[i.Name] = i.Value
			}
			publish(ctx)
		},
		Changed: func(ctx context.Context, changes []platform.Change[rollout.Order]) {
			d.recordSuccess()
			for _, c := range changes {
				if c.Deleted {
					delete(orders, c.Name)
				} else {
					orders[c.Name] = c.Value
				}
			}
			if len(changes) > 0 {
				publish(ctx)
			}
		},
		Failed: func(_ context.Context, _ string, err error) { d.recordFailure(err) },
	}
}

// logRollouts logs the changes of orders with their evidence.
func (v *VM) logRollouts(events []rollout.Event) {
	for _, e := range events {
		v.log.Info().Str("service", string(e.Order.Service)).Str("target", string(e.Order.ID.Target)).
			Uint64("order", uint64(e.Order.ID.Number)).Str("stage", e.Stage.String()).Str("step", e.Step.String()).
			Str("evidence", e.Reason).Dur("age-ms", e.Age).Dur("duration-ms", e.Order.Duration).Msg("rollout")
	}
}

// runRollouts exchanges reports with other VMs and writes stages while an order needs it.
func (v *VM) runRollouts(ctx context.Context) {
	ticker := time.NewTicker(v.reportInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		turn, ok := v.rolloutTurn(ctx)
		if !ok {
			continue
		}
		v.rolloutStatuses.Store(&turn.statuses)
		if !turn.active {
			continue
		}
		v.sendRolloutReports(ctx, turn.reports)
		if len(turn.writes) > 0 {
			replaceLatest(v.rolloutWrites, turn.writes)
		}
	}
}

// writeStages writes the stages that runRollouts asks for. The store may be slow, so that
// reports do not wait for it.
func (v *VM) writeStages(ctx context.Context) {
	w := stageWriter{vm: v, attempts: map[ident.ServiceID]*stageAttempt{}}
	for {
		select {
		case writes := <-v.rolloutWrites:
			w.write(ctx, writes)
		case <-ctx.Done():
			return
		}
	}
}

func (v *VM) reportInterval() time.Duration {
	return min(max(v.settings.RolloutBounds().Within/reportsPerBound, minReportInterval), maxReportInterval)
}

// startRollouts starts to follow the orders, if the settings bound rollouts.
func (v *VM) startRollouts(ctx context.Context) {
	if v.mirrors.readers.orders == nil {
		return
	}
	v.group.Go(ctx, func(ctx context.Context) { followReader(ctx, v, v.mirrors.readers.orders, v.orderHandler()) })
	v.group.Go(ctx, v.runRollouts)
	v.group.Go(ctx, v.writeStages)
}

// addOrderReader adds the reader of the orders, if the settings bound rollouts.
func (v *VM) addOrderReader(m *mirrors) {
	if !v.settings.RolloutBounds().Set() || v.discovery.Rollouts.Orders == nil {
		return
	}
	m.readers.orders = newReader(v, m, v.discovery.Rollouts.Orders, probedInTurn, mirror.Codec[rollout.Order]{
		Marshal: codec.MarshalOrder, Unmarshal: codec.UnmarshalOrder,
	})
}

// A rolloutTurn is what the control state asks for at one time.
type rolloutTurn struct {
	active   bool
	reports  []rollout.Outgoing
	writes   []rollout.Write
	statuses []rollout.Status
}

func (v *VM) rolloutTurn(ctx context.Context) (rolloutTurn, bool) {
	return askControl(ctx, v, func(now ident.Instant, core *control.Core) rolloutTurn {
		t := rolloutTurn{active: core.RolloutsActive(), statuses: core.RolloutStatuses(now)}
		if t.active {
			t.reports, t.writes = core.RolloutReports(now), core.RolloutWrites(now)
			v.logRollouts(core.RolloutEvents())
		}
		return t
	})
}

// askControl runs f in the control loop and returns its result, or false if the loop has
// ended or ctx is done.
func askControl[T any](ctx context.Context, v *VM, f func(now ident.Instant, core *control.Core) T) (result T, ok bool) {
	results := make(chan T, 1)
	v.updateControl(ctx, func(now ident.Instant, core *control.Core) { results <- f(now, core) })
	select {
	case result = <-results:
		return result, true
	case <-v.control.done:
	case <-ctx.Done():
	}
	return result, false
}

// sendRolloutReports sends reports to other VMs and passes their answers to control. It
// waits for them at most until the next reports are due.
func (v *VM) sendRolloutReports(ctx context.Context, reports []rollout.Outgoing) {
	ctx, cancel := context.WithTimeout(ctx, v.reportInterval())
	defer cancel()
	ended := make(chan struct{}, len(reports))
	for _, o := range reports {
		go func() {
			defer func() { ended <- struct{}{} }()
			answers, err := v.callRollout(ctx, o)
			if err != nil && !gaveUp(ctx, err) {
				v.log.Debug().Str("vm", string(o.To)).Err(err).Msg("rollout-report-unanswered")
			}
			// The context of the call may have ended; the control loop still takes the event.
			v.updateControl(context.WithoutCancel(ctx), func(now ident.Instant, core *control.Core) {
				core.RolloutAnswered(now, o.To, answers, err == nil)
				v.logRollouts(core.RolloutEvents())
			})
		}()
	}
	for range reports {
		<-ended
	}
}

var errUnknownVM = errors.New("the VM is not listed")

func (v *VM) callRollout(ctx context.Context, o rollout.Outgoing) ([]rollout.Guidance, error) {
	member, ok := v.views.Current().Members.Get(o.To)
	if !ok || v.peers == nil {
		return nil, errUnknownVM
	}
	body, err := proto.Marshal(&schema.PeerCall{Rollout: codec.RolloutReportMessage(o.Reports)})
	if err != nil {
		return nil, err
	}
	answer, err := v.peers.Call(ctx, o.To, member.Address, body)
	if err == nil && len(answer) == 0 {
		err = errNoAnswer
	}
	if err != nil {
		return nil, err
	}
	return codec.UnmarshalRolloutAnswer(answer)
}

// answerRollout returns the encoded decisions about the reports of another VM.
func (v *VM) answerRollout(ctx context.Context, from ident.VMID, m *schema.RolloutReport) []byte {
	reports := codec.RolloutReports(m)
	if m.From != string(from) {
		return nil
	}
	answers, ok := askControl(ctx, v, func(now ident.Instant, core *control.Core) []rollout.Guidance {
		return core.RolloutReported(now, reports)
	})
	if !ok {
		return nil
	}
	body, err := codec.MarshalRolloutAnswer(answers)
	if err != nil {
		v.log.Error().Err(err).Msg("rollout-answer-not-encoded")
		return nil
	}
	return body
}

// A stageAttempt is the state of the writes about one service.
type stageAttempt struct {
	// order and stage are those that the store accepted last, at the time at.
	order rollout.OrderID
	stage rollout.Stage
	at    time.Time
	// notBefore is the time of the next attempt after a failed one.
	notBefore time.Time
	backoff   platform.Backoff
}

// A stageWriter writes stages to the store, each one once unless the VM does not read it
// back. A service whose order can't be written does not delay the others.
type stageWriter struct {
	vm       *VM
	attempts map[ident.ServiceID]*stageAttempt
}

func (w *stageWriter) write(ctx context.Context, writes []rollout.Write) {
	for _, x := range writes {
		a := w.attempts[x.Order.Service]
		if a == nil {
			a = &stageAttempt{}
			w.attempts[x.Order.Service] = a
		}
		now := time.Now()
		if now.Before(a.notBefore) || (a.order == x.Order.ID && a.stage == x.Stage && now.Sub(a.at) < writeRepeat) {
			continue
		}
		held, err := w.vm.discovery.Rollouts.Writer.WriteStage(ctx, string(x.Order.Service), x.Order.ID, x.Stage)
		if err != nil && gaveUp(ctx, err) {
			return
		}
		line := w.vm.log.Info()
		if err != nil {
			line = w.vm.log.Warn().Err(err)
			a.notBefore = time.Now().Add(a.backoff.Next(rand.Float64()))
		} else {
			a.order, a.stage, a.at = x.Order.ID, x.Stage, now
			a.backoff.Reset()
		}
		line.Str("service", string(x.Order.Service)).Str("target", string(x.Order.ID.Target)).Str("stage", x.Stage.String()).
			Str("held", held.String()).Msg("rollout-status-written")
	}
}

// rolloutVars returns the state of the orders by service, as this VM knows it. The counts
// are those of this VM alone.
func (v *VM) rolloutVars() any {
	statuses := v.rolloutStatuses.Load()
	out := map[string]any{}
	if statuses == nil {
		return out
	}
	for i := range *statuses {
		s := &(*statuses)[i]
		var target, others rollout.Counts
		for _, c := range s.Evidence.Cells {
			if c.Target {
				target = target.Plus(c.Counts)
			} else {
				others = others.Plus(c.Counts)
			}
		}
		out[string(s.Order.Service)] = map[string]any{
			"target-version": s.Order.ID.Target, "stage": s.Stage.String(), "step": s.Step.String(), "evidence": s.Reason,
			"age-ms": s.Age.Milliseconds(), "requests": s.Evidence.First, "sent-to-target": s.Evidence.Sent,
			"others-in-flight": s.Evidence.OthersInFlight, "target-slots": s.Capacity.Target, "other-slots": s.Capacity.Others,
			"target": countVars(target), "others": countVars(others),
		}
	}
	return out
}

func countVars(c rollout.Counts) map[string]uint64 {
	return map[string]uint64{"answers": c.Answers, "failures": c.Failures, "compared": c.Timed, "slow": c.Slow}
}
