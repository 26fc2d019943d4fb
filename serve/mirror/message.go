package mirror

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
	"carawaycross.example/carawaycross/schema"
)

// QuestionMessage converts a question to its message.
func QuestionMessage(q Question) *schema.MirrorQuestion {
	return &schema.MirrorQuestion{Kind: q.Kind, After: uint64(q.After), WaitMs: uint32(q.Wait.Milliseconds()), OwnReading: q.Disconnected, Disconnected: q.Disconnected}
}

// QuestionOf converts a message to its question.
func QuestionOf(m *schema.MirrorQuestion) Question {
	return Question{
		Kind: m.GetKind(), After: platform.StoreVersion(m.GetAfter()), Wait: time.Duration(m.GetWaitMs()) * time.Millisecond,
		Disconnected: m.GetDisconnected(),
	}
}

// MarshalAnswer encodes a mirror's answer.
func MarshalAnswer(a Answer[[]byte]) ([]byte, error) {
	m := &schema.MirrorAnswer{
		Outcome: string(a.Outcome), Version: uint64(a.Version),
		// Rounded down, so that the objects do not look younger.
		ConfirmedMs: int64(math.Floor(float64(a.Confirmed) / float64(time.Millisecond))),
	}
	for _, vm := range a.Path {
		m.Path = append(m.Path, string(vm))
	}
	for _, c := range a.Changes {
		m.Changes = append(m.Changes, &schema.MirrorChange{Name: c.Name, Value: c.Value, Deleted: c.Deleted})
	}
	return proto.Marshal(m)
}

// UnmarshalAnswer decodes a mirror's answer.
func UnmarshalAnswer(b []byte) (Answer[[]byte], error) {
	var m schema.MirrorAnswer
	if err := proto.Unmarshal(b, &m); err != nil {
		return Answer[[]byte]{}, err
	}
	a := Answer[[]byte]{
		Outcome: Outcome(m.Outcome), Version: platform.StoreVersion(m.Version),
		Confirmed: time.Duration(m.ConfirmedMs) * time.Millisecond,
	}
	for _, vm := range m.Path {
		a.Path = append(a.Path, ident.VMID(vm))
	}
	for _, c := range m.Changes {
		a.Changes = append(a.Changes, platform.Change[[]byte]{Name: c.Name, Value: c.Value, Deleted: c.Deleted})
	}
	return a, nil
}
