package vm

import (
	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/intake"
	"carawaycross.example/carawaycross/serve/gate"
)

// The limits of the listeners for operators and for the readiness check, which keep them
// apart from those for callers.
var (
	operatorLimits = intake.Limits{Connections: 64, Memory: 4 << 20}
	readyLimits    = intake.Limits{Connections: 32, Memory: 256 << 10}
)

// gates hold the gate of each listener. front and ready are used if routes and replicas
// come from the store.
type gates struct{ callers, operators, front, ready *gate.Gate }

func newGates(v *VM) *gates {
	newGate := func(name string, limits intake.Limits, times func() gate.Times) *gate.Gate {
		return gate.New(gate.Config{Name: name, Limits: limits, Clock: v.clock, Log: v.log, Times: times})
	}
	return &gates{
		callers:   newGate("callers", v.settings.CallerLimits(), nil),
		operators: newGate("operators", operatorLimits, nil),
		front:     newGate("front", v.settings.FrontLimits(), v.callerTimes),
		ready:     newGate("ready", readyLimits, nil),
	}
}

// callerTimes returns the limits for callers of the configuration in force.
func (v *VM) callerTimes() gate.Times {
	current := v.views.Current()
	if current == nil {
		return gate.Times{}
	}
	l := current.Limits
	return gate.Times{HeadBytes: ident.Bytes(l.HeaderBytes), HeadTime: l.HeaderTimeout, Idle: l.IdleTimeout}
}

// stats returns the state of the gates, for metrics.
func (g *gates) stats() any {
	return map[string]gate.Stats{
		"callers": g.callers.Stats(), "operators": g.operators.Stats(), "front": g.front.Stats(), "ready": g.ready.Stats(),
	}
}
