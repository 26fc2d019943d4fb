package codec

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/schema"
)

// ClaimObject returns the name of the object that holds a key range's book.
func ClaimObject(r booking.KeyRange) string { return fmt.Sprintf("claims-%02d", r) }

// MarshalClaims returns the stored form of a book.
func MarshalClaims(entries []booking.Entry) ([]byte, error) {
	m := &schema.ClaimBook{Claims: make([]*schema.Claim, len(entries))}
	for i, e := range entries {
		m.Claims[i] = &schema.Claim{
			RequestKey: string(e.Key), Vm: string(e.VM), Incarnation: uint64(e.Incarnation),
			IssuedMs: int64(e.IssuedAt) / int64(time.Millisecond),
		}
	}
	return proto.Marshal(m)
}

// UnmarshalClaims reads the stored form of a book; empty for none.
func UnmarshalClaims(b []byte) ([]booking.Entry, error) {
	var m schema.ClaimBook
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, err
	}
	entries := make([]booking.Entry, len(m.Claims))
	for i, c := range m.Claims {
		entries[i] = booking.Entry{
			Key: ident.RequestKey(c.RequestKey), VM: ident.VMID(c.Vm),
			Incarnation: ident.Incarnation(c.Incarnation),
			IssuedAt:    ident.Instant(c.IssuedMs) * ident.Instant(time.Millisecond),
		}
	}
	return entries, nil
}
