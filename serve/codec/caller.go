package codec

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"carawaycross.example/carawaycross/core/admission"
	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/schema"
)

// Search returns the Arrival for a search request.
func Search(m *schema.SearchRequest) node.Arrival {
	return node.Arrival{
		Service: ident.ServiceID(m.Service), Tenant: ident.TenantID(m.Tenant), Class: ident.ClassID(m.Class),
		Body: m.Query, Deadline: m.GetDeadline().AsDuration(), WantedCoverage: ident.Share(m.WantedCoverage),
	}
}

// Booking returns the Arrival for a booking request.
func Booking(m *schema.BookingRequest) node.Arrival {
	return node.Arrival{
		Service: ident.ServiceID(m.Service), Tenant: ident.TenantID(m.Tenant), Class: ident.ClassID(m.Class),
		Body: m.Body, Deadline: m.GetDeadline().AsDuration(), Key: ident.RequestKey(m.RequestKey),
	}
}

// BookingMessage returns the request message for a booking's Arrival.
func BookingMessage(a *node.Arrival) *schema.BookingRequest {
	return &schema.BookingRequest{
		Service: string(a.Service), Tenant: string(a.Tenant), Class: string(a.Class),
		Body: a.Body, Deadline: durationpb.New(a.Deadline), RequestKey: string(a.Key),
	}
}

// SearchAnswer returns the message for the answer to a search. The answer must not
// have a Refusal.
func SearchAnswer(vm ident.VMID, a *node.Answer) *schema.SearchAnswer {
	m := &schema.SearchAnswer{
		Snapshot: uint32(a.Snapshot), ShardMap: uint32(a.Map),
		ShardsWanted:  uint32(len(a.Coverage.Covered) + len(a.Coverage.Missing)),
		ExtraAttempts: uint32(a.ExtraAttempts), Took: durationpb.New(a.Took.Round(time.Microsecond)),
		Preset: string(a.Preset), Vm: string(vm),
	}
	for _, s := range a.Coverage.Covered {
		m.ShardsCovered = append(m.ShardsCovered, uint32(s))
	}
	for _, s := range a.Coverage.Missing {
		m.ShardsMissing = append(m.ShardsMissing, &schema.MissingShard{Shard: uint32(s.Shard), Reason: string(s.Reason)})
	}
	for _, p := range a.Parts {
		m.Parts = append(m.Parts, &schema.ShardPart{Shard: uint32(p.Shard), Result: p.Result, Replica: string(p.Replica)})
	}
	return m
}

// BookingAnswer returns the message for the answer to a booking. The answer must not
// have a Refusal.
func BookingAnswer(vm ident.VMID, a *node.Answer) *schema.BookingAnswer {
	m := &schema.BookingAnswer{Vm: string(vm), Repeated: a.Repeated}
	if len(a.Parts) > 0 {
		m.Result, m.Replica = a.Parts[0].Result, string(a.Parts[0].Replica)
	}
	return m
}

// Refusal returns the message for a refusal.
func Refusal(r *node.Refusal) *schema.Refusal {
	m := &schema.Refusal{Outcome: string(r.Outcome), Reason: string(r.Reason), Detail: r.Detail}
	if r.RetryAfter > 0 {
		m.RetryAfter = durationpb.New(r.RetryAfter)
	}
	return m
}

// RelayedAnswer returns the message for the answer to a booking that another VM
// forwarded.
func RelayedAnswer(vm ident.VMID, a *node.Answer) *schema.RelayedAnswer {
	m := &schema.RelayedAnswer{}
	if a.Refusal != nil {
		m.Refusal = Refusal(a.Refusal)
		return m
	}
	m.Answer = BookingAnswer(vm, a)
	return m
}

// Relayed returns the answer from the message that RelayedAnswer made.
func Relayed(m *schema.RelayedAnswer) *node.Answer {
	if r := m.GetRefusal(); r != nil {
		return &node.Answer{Refusal: &node.Refusal{
			Outcome: booking.Outcome(r.Outcome), Reason: admission.Reason(r.Reason), Detail: r.Detail,
			RetryAfter: r.GetRetryAfter().AsDuration(),
		}}
	}
	a := m.GetAnswer()
	return &node.Answer{
		Repeated: a.GetRepeated(),
		Parts:    []node.Part{{Replica: ident.ReplicaID(a.GetReplica()), Result: a.GetResult()}},
	}
}
