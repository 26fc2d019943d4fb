package usage

import (
	"testing"
	"time"
)

func TestPoolAccruesUntilTheLeasesEnd(t *testing.T) {
	p := newPool(start)
	p.add(start, start, "vm-0", Loan{Rate: 5, Capacity: 20, Lease: time.Second})
	p.add(start, start, "vm-1", Loan{Rate: 5, Capacity: 20, Lease: 4 * time.Second})
	if p.accrue(start.Add(2 * time.Second)); p.tokens != 15 || p.capacity() != 20 {
		t.Errorf("the pool has %v tokens of %v, expected 15 of 20", p.tokens, p.capacity())
	}
	if p.accrue(start.Add(9 * time.Second)); p.tokens != 0 {
		t.Errorf("the pool has %v tokens without shares", p.tokens)
	}
}
