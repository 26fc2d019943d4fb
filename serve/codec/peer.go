package codec

import (
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/control"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/news"
	"carawaycross.example/carawaycross/core/roster"
	"carawaycross.example/carawaycross/schema"
)

// MarshalMessage encodes a message between VMs. Expiry times are encoded as the time
// left, so that they do not depend on the clocks of different VMs. Expired news is
// omitted.
func MarshalMessage(now ident.Instant, m *control.Message) ([]byte, error) {
	out := &schema.PeerMessage{
		From: string(m.From), Kind: string(m.Kind), Sequence: m.Sequence, Target: string(m.Target),
		Digest: &schema.Digest{Configuration: uint32(m.Digest.Configuration), Roster: m.Digest.Roster},
	}
	for _, member := range m.Members {
		out.Members = append(out.Members, &schema.Member{
			Vm: string(member.VM), Zone: string(member.Zone), Address: member.Address,
			Incarnation: uint64(member.Incarnation), State: member.State.String(),
		})
	}
	for i := range m.Changes {
		out.Changes = append(out.Changes, ChangeMessage(&m.Changes[i]))
	}
	if m.Configuration != nil {
		out.Configuration = ConfigurationMessage(m.Configuration)
	}
	for _, item := range m.News {
		left := item.Expires.Sub(now)
		if left <= 0 {
			continue
		}
		out.News = append(out.News, &schema.NewsItem{
			Kind: string(item.Kind), Subject: item.Subject, Origin: string(item.Origin),
			Sequence: item.Sequence, TtlMs: uint32(left / time.Millisecond), Count: uint32(item.Count),
		})
	}
	return proto.Marshal(out)
}

// UnmarshalMessage decodes a message between VMs. It skips members whose state is not
// defined in this version.
func UnmarshalMessage(now ident.Instant, b []byte) (*control.Message, error) {
	var in schema.PeerMessage
	if err := proto.Unmarshal(b, &in); err != nil {
		return nil, err
	}
	m := &control.Message{
		From: ident.VMID(in.From), Kind: control.MessageKind(in.Kind), Sequence: in.Sequence,
		Target: ident.VMID(in.Target),
		Digest: control.Digest{
			Configuration: ident.Version(in.GetDigest().GetConfiguration()), Roster: in.GetDigest().GetRoster(),
		},
	}
	for _, member := range in.Members {
		state, ok := roster.ParseState(member.State)
		if !ok {
			continue
		}
		m.Members = append(m.Members, roster.Member{
			VM: ident.VMID(member.Vm), Zone: ident.ZoneID(member.Zone), Address: member.Address,
			Incarnation: ident.Incarnation(member.Incarnation), State: state,
		})
	}
	for _, ch := range in.Changes {
		m.Changes = append(m.Changes, Change(ch))
	}
	if in.Configuration != nil {
		c := Configuration(in.Configuration)
		m.Configuration = &c
	}
	for _, item := range in.News {
		m.News = append(m.News, news.Item{
			Key:      news.Key{Kind: news.Kind(item.Kind), Subject: item.Subject, Origin: ident.VMID(item.Origin)},
			Sequence: item.Sequence, Count: int(item.Count),
			Expires: now.Add(time.Duration(item.TtlMs) * time.Millisecond),
		})
	}
	return m, nil
}
