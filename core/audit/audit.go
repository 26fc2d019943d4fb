// Package audit checks a configuration of routes before operators send it, and compares
// it with the one in force.
package audit

import (
	"fmt"

	"carawaycross.example/carawaycross/core/catalogue"
	"carawaycross.example/carawaycross/core/ident"
)

// A Severity ranks a Finding.
type Severity string

// The severities of a Finding.
const (
	// Error means that the configuration, or a part of it, cannot work as written.
	Error Severity = "error"
	// Warning means that it works, but hardly as intended.
	Warning Severity = "warning"
)

// A Finding is a fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Place names the part of the configuration, such as `route "urgent"`.
	Place string `json:"place"`
	Text  string `json:"text"`
}

// An Environment holds what a configuration is checked against. A zero field leaves the
// checks out that need it.
type Environment struct {
	// VMs is the number of VMs that share the caps of tenants.
	VMs int
	// RequestMemory is what a VM reserves for the requests of callers.
	RequestMemory ident.Bytes
	// Replicas holds the number of replicas of each service; nil if they are not known.
	Replicas map[ident.ServiceID]int
	// InForce is the version in force; 0 if it is not known.
	InForce ident.RoutesVersion
}

// report collects the findings of one check.
type report struct {
	configuration *catalogue.Configuration
	environment   Environment
	findings      []Finding
}

func (r *report) add(s Severity, place, format string, args ...any) {
	r.findings = append(r.findings, Finding{s, place, fmt.Sprintf(format, args...)})
}

// Check returns the faults of a configuration in the order of its parts.
func Check(c *catalogue.Configuration, e Environment) []Finding {
	r := &report{configuration: c, environment: e}
	r.checkVersion()
	r.checkLimits()
	r.checkRoutes()
	r.checkServices()
	r.checkTenants()
	return r.findings
}

func (r *report) checkVersion() {
	v, inForce := r.configuration.Version, r.environment.InForce
	switch {
	case v == 0:
		r.add(Error, "version", "found 0, a version above 0 is required")
	case inForce > 0 && v <= inForce:
		r.add(Error, "version", "found %d, but %d is in force: VMs ignore it", v, inForce)
	}
}

func (r *report) checkLimits() {
	limits, memory := r.configuration.Limits, r.environment.RequestMemory
	for _, limit := range []struct {
		name  string
		value int64
	}{
		{"header-bytes", int64(limits.HeaderBytes)},
		{"body-bytes", int64(limits.BodyBytes)},
		{"header-timeout", int64(limits.HeaderTimeout)},
		{"idle-timeout", int64(limits.IdleTimeout)},
	} {
		if limit.value <= 0 {
			r.add(Warning, "limits", "%s sets no limit", limit.name)
		}
	}
	if size := ident.Bytes(limits.HeaderBytes + limits.BodyBytes); memory > 0 && size > memory {
		r.add(Error, "limits", "a request may take %d bytes, but a VM reserves %d for all requests", size, memory)
	}
}
