package vm_test

import (
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

func encodedSizes(b *testing.B, m proto.Message) (binary, text int) {
	b.Helper()
	x, err := proto.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	y, err := protojson.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	return len(x), len(y)
}
