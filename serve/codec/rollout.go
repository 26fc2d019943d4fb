package codec

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/rollout"
	"carawaycross.example/carawaycross/schema"
)

// stages and steps map the names in messages to their values.
var (
	stages = byName(rollout.Pending, rollout.InProgress, rollout.Completed, rollout.RolledBack)
	steps  = byName(rollout.Held, rollout.Canary, rollout.Quarter, rollout.Half, rollout.Most, rollout.Takeover)
)

func byName[T fmt.Stringer](values ...T) map[string]T {
	out := make(map[string]T, len(values))
	for _, v := range values {
		out[v.String()] = v
	}
	return out
}

func orderIDMessage(id rollout.OrderID) *schema.RolloutOrderID {
	return &schema.RolloutOrderID{Number: uint64(id.Number), Target: string(id.Target)}
}

func orderID(m *schema.RolloutOrderID) rollout.OrderID {
	return rollout.OrderID{Number: rollout.OrderNumber(m.GetNumber()), Target: ident.Software(m.GetTarget())}
}

// MarshalOrder encodes an order.
func MarshalOrder(o rollout.Order) ([]byte, error) {
	return proto.Marshal(&schema.RolloutOrder{
		Service: string(o.Service), Order: orderIDMessage(o.ID), DurationMs: uint64(o.Duration.Milliseconds()),
		Stage: o.Stored.String(),
	})
}

// UnmarshalOrder decodes an order.
func UnmarshalOrder(b []byte) (rollout.Order, error) {
	var m schema.RolloutOrder
	if err := proto.Unmarshal(b, &m); err != nil {
		return rollout.Order{}, err
	}
	return rollout.Order{
		Service: ident.ServiceID(m.Service), ID: orderID(m.Order), Duration: ident.Span(float64(m.DurationMs), time.Millisecond),
		Stored: stages[m.Stage],
	}, nil
}

// RolloutReportMessage converts the reports of one VM to their message.
func RolloutReportMessage(reports []rollout.Report) *schema.RolloutReport {
	m := &schema.RolloutReport{}
	for i := range reports {
		r := &reports[i]
		m.From, m.Incarnation, m.Sequence = string(r.VM), uint64(r.Incarnation), max(m.Sequence, r.Sequence)
		s := &schema.ServiceRollout{
			Service: string(r.Service), Order: orderIDMessage(r.Order), Stage: r.Stage.String(), Step: r.Step.String(),
			Reason: r.Reason, AgeMs: uint64(max(r.Age, 0).Milliseconds()), OthersInFlight: uint32(r.OthersInFlight),
			Requests: r.First, Sent: r.Sent,
		}
		for j := range r.Cells {
			c := &r.Cells[j]
			s.Counts = append(s.Counts, &schema.RolloutCounts{
				Route: string(c.Route), Replica: string(c.Replica), Zone: string(c.Zone), Target: c.Target,
				Answers: c.Answers, Failures: c.Failures, Timed: c.Timed, Slow: c.Slow,
			})
		}
		m.Services = append(m.Services, s)
	}
	return m
}

// RolloutReports converts a message to the reports of one VM.
func RolloutReports(m *schema.RolloutReport) []rollout.Report {
	out := make([]rollout.Report, 0, len(m.Services))
	for _, s := range m.Services {
		r := rollout.Report{
			VM: ident.VMID(m.From), Incarnation: ident.Incarnation(m.Incarnation), Sequence: m.Sequence,
			Stage: stages[s.Stage], Reason: s.Reason, Age: ident.Span(float64(s.AgeMs), time.Millisecond),
			Evidence: rollout.Evidence{
				Service: ident.ServiceID(s.Service), Order: orderID(s.Order), Step: steps[s.Step],
				OthersInFlight: int(s.OthersInFlight), First: s.Requests, Sent: s.Sent,
			},
		}
		for _, c := range s.Counts {
			r.Cells = append(r.Cells, rollout.CellCounts{
				Cell: rollout.Cell{Route: ident.RouteID(c.Route), Replica: ident.ReplicaID(c.Replica)}, Zone: ident.ZoneID(c.Zone),
				Target: c.Target, Counts: rollout.Counts{Answers: c.Answers, Failures: c.Failures, Timed: c.Timed, Slow: c.Slow},
			})
		}
		out = append(out, r)
	}
	return out
}

// MarshalRolloutAnswer encodes the decisions of a VM.
func MarshalRolloutAnswer(answers []rollout.Guidance) ([]byte, error) {
	m := &schema.RolloutAnswer{}
	for _, g := range answers {
		m.Decisions = append(m.Decisions, &schema.RolloutDecision{
			Service: string(g.Service), Order: orderIDMessage(g.Order), Stage: g.Stage.String(), Step: g.Step.String(), Reason: g.Reason,
		})
	}
	return proto.Marshal(m)
}

// UnmarshalRolloutAnswer decodes the decisions of a VM.
func UnmarshalRolloutAnswer(b []byte) ([]rollout.Guidance, error) {
	var m schema.RolloutAnswer
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	out := make([]rollout.Guidance, 0, len(m.Decisions))
	for _, d := range m.Decisions {
		out = append(out, rollout.Guidance{
			Service: ident.ServiceID(d.Service), Order: orderID(d.Order), Stage: stages[d.Stage], Step: steps[d.Step], Reason: d.Reason,
		})
	}
	return out, nil
}
