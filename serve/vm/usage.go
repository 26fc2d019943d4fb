package vm

import (
	"context"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/usage"
	"carawaycross.example/carawaycross/schema"
	"carawaycross.example/carawaycross/serve/codec"
)

// usageSharer asks other VMs about the usage caps of tenants.
type usageSharer struct{ vm *VM }

func (s usageSharer) ShareUsage(ctx context.Context, e *usage.Exchange) (usage.Message, bool) {
	if s.vm.peers == nil {
		return usage.Message{}, false
	}
	body, err := proto.Marshal(&schema.PeerCall{Usage: codec.UsageMessage(&e.Message)})
	if err != nil {
		s.vm.log.Error().Err(err).Msg("usage-not-encoded")
		return usage.Message{}, false
	}
	answer, err := s.vm.peers.Call(ctx, e.To, e.Address, body)
	var m schema.UsageReport
	if err != nil || proto.Unmarshal(answer, &m) != nil {
		// The ledger asks another VM.
		return usage.Message{}, false
	}
	return codec.Usage(&m), true
}

// answerUsage returns the encoded answer to another VM's question about usage caps.
func (v *VM) answerUsage(ctx context.Context, from ident.VMID, m *schema.UsageReport) []byte {
	answer, ok := v.traffic.ReceiveUsage(ctx, from, codec.Usage(m))
	if !ok {
		return nil
	}
	body, err := proto.Marshal(codec.UsageMessage(&answer))
	if err != nil {
		v.log.Error().Err(err).Msg("usage-not-encoded")
		return nil
	}
	return body
}
