// Package policy defines the interface of replaceable decisions. Code that makes
// such a decision calls a Policy; functions of package node, such as Defaults and
// Baseline, select the implementations.
package policy

// A Policy computes a decision Out from the input In. An implementation reads no
// clock and keeps no reference to In after Decide returns.
type Policy[In, Out any] interface {
	Decide(in In) Out
}

// A Func is a function that implements Policy.
type Func[In, Out any] func(In) Out

// Decide calls f.
func (f Func[In, Out]) Decide(in In) Out { return f(in) }
