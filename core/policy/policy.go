// Package policy defines the seam through which behaviour varies. Each place
// that decides takes a Policy; the implementations are assembled in package
// node's Defaults and Baseline.
package policy

// A Policy decides Out from In. An implementation reads no clock and keeps no
// reference to In after Decide returns.
type Policy[In, Out any] interface {
	Decide(in In) Out
}

// A Func is a function that is a Policy.
type Func[In, Out any] func(In) Out

// Decide calls f.
func (f Func[In, Out]) Decide(in In) Out { return f(in) }
