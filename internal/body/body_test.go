package body_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/internal/body"
)

// TestReadNeverCutsABody checks that a body is read whole or not at all, and what it
// leaves reserved.
func TestReadNeverCutsABody(t *testing.T) {
	broken := errors.New("broken")
	for _, size := range []int{0, 1, 2047, 2048, 2049, 9_999, 10_000, 10_001, 50_000} {
		for _, budget := range []ident.Bytes{0, 5_000, 100_000} {
			for _, err := range []error{nil, broken} {
				b := body.NewBudget(budget)
				r := io.Reader(strings.NewReader(strings.Repeat("x", size)))
				if err != nil {
					r = io.MultiReader(r, iotest.ErrReader(err))
				}
				text, reserved, got := body.ReadWithin(r, 10_000, b)
				fits := size <= 10_000 && (budget == 0 || size < int(budget)/2)
				switch {
				case got == nil && (len(text) != size || err != nil):
					t.Errorf("%d bytes, budget %d: read %d, %v expected", size, budget, len(text), err)
				case got != nil && (len(text) != 0 || reserved != 0):
					t.Errorf("%d bytes, budget %d: %d bytes and %d reserved after %v", size, budget, len(text), reserved, got)
				case got != nil && err == nil && fits:
					t.Errorf("%d bytes, budget %d: %v", size, budget, got)
				}
				if b.Used() != reserved || int(reserved) < len(text) {
					t.Errorf("%d bytes, budget %d: %d used, %d reserved", size, budget, b.Used(), reserved)
				}
			}
		}
	}
	if text, err := body.Read(bytes.NewReader([]byte("abc")), 3); string(text) != "abc" || err != nil {
		t.Errorf("%q, %v", text, err)
	}
}

// TestBudgetWarnsBeforeItIsShort checks that others are asked for bytes before the first
// body is refused, and then each time.
func TestBudgetWarnsBeforeItIsShort(t *testing.T) {
	b, warnings := body.NewBudget(100), 0
	b.OnShort(func() { warnings++ })
	for i := range 8 {
		if err := b.Reserve(10, 10); err != nil || (warnings > 0) != (i == 7) {
			t.Errorf("body %d: %v, %d warnings", i, err, warnings)
		}
	}
	if err := b.Reserve(10, 30); err == nil || warnings != 2 {
		t.Errorf("%v, %d warnings", err, warnings)
	}
}
