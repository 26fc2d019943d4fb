package codec

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycross.example/carawaycross/core/booking"
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/schema"
)

// ClaimObject returns the name of the stored object that holds the claims of a key
// range.
func ClaimObject(r booking.KeyRange) string { return fmt.Sprintf("claims-%02d", r) }

// MarshalClaims encodes the claims of a key range for the store.
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

// UnmarshalClaims decodes the claims of a key range. Empty input yields no claims.
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
