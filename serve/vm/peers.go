package vm

import (
	"context"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/node"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/codec"
	"carawaycross.example/carawaycross/serve/peer"
)

// noPeers is the sender of a VM without peers. It discards all messages.
type noPeers struct{}

func (noPeers) Send(ident.VMID, string, []byte) {}

// startPeers starts the transport to other VMs, if there is one. It must be called before
// the control loop starts, which sends through it.
func (v *VM) startPeers(self *roster.Member) error {
	if v.discovery != nil {
		return v.startMirrors(self)
	}
	m := v.settings.Message.Peers
	if m.Listen == "" {
		return nil
	}
	keys := &peer.Keys{Certificate: m.Certificate, Key: m.Key, Authority: m.Authority}
	t, err := peer.Listen(m.Listen, keys, peerHandler{v})
	if err != nil {
		return &Error{"peers", CannotStart, err}
	}
	v.peers, v.control.peers = t, t
	return nil
}

// peerHandler handles the messages and calls of other VMs.
type peerHandler struct{ vm *VM }

func (h peerHandler) Message(_ context.Context, from ident.VMID, body []byte) {
	h.vm.control.receive(from, body)
}

// Call answers a booking that was forwarded to this VM, which issued its ticket, or a
// mirror question.
func (h peerHandler) Call(ctx context.Context, from ident.VMID, body []byte) []byte {
	var m schema.PeerCall
	if err := proto.Unmarshal(body, &m); err != nil || (m.Booking == nil && m.Mirror == nil && m.CutOff == nil && m.Usage == nil && m.Rollout == nil) {
		h.vm.log.Warn().Str("from", string(from)).Msg("peer-call-refused")
		return nil
	}
	if m.CutOff != nil {
		h.vm.receiveCutOffNotice(m.CutOff)
		return nil
	}
	if m.Rollout != nil {
		return h.vm.answerRollout(ctx, from, m.Rollout)
	}
	if m.Usage != nil {
		return h.vm.answerUsage(ctx, from, m.Usage)
	}
	if m.Mirror != nil {
		return h.vm.answerQuestion(ctx, m.Mirror)
	}
	arrival := codec.Booking(m.Booking)
	arrival.Relayed = true
	answer := h.vm.traffic.Ask(ctx, arrival)
	if answer == nil {
		return nil
	}
	out, err := proto.Marshal(codec.RelayedAnswer(ident.VMID(h.vm.settings.Message.Vm.Name), answer))
	if err != nil {
		return nil
	}
	return out
}

// forwarder forwards bookings to the VM that issued their ticket.
type forwarder struct{ vm *VM }

func (f forwarder) Forward(ctx context.Context, to ident.VMID, a node.Arrival) *node.Answer {
	member, ok := f.vm.views.Current().Members.Get(to)
	if !ok || f.vm.peers == nil {
		return nil
	}
	body, err := proto.Marshal(&schema.PeerCall{Booking: codec.BookingMessage(&a)})
	if err != nil {
		return nil
	}
	answer, err := f.vm.peers.Call(ctx, to, member.Address, body)
	var m schema.RelayedAnswer
	if err != nil || len(answer) == 0 || proto.Unmarshal(answer, &m) != nil {
		return nil
	}
	return codec.Relayed(&m)
}
