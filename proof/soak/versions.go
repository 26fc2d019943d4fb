package soak

import (
	"slices"
	"time"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/core/route"
)

// A version is one version of the configuration that was written to the store.
type version struct {
	number ident.RoutesVersion
	table  *route.Table
	// marker is the prefix of a route that only this version has; empty for the first.
	marker string
	// prefixes are those of the routes of the desks that changes concern.
	prefixes []string
	// written is when the write began, acknowledged when the store had accepted it.
	written, acknowledged time.Time
}

// route returns the version's route of a call, or nil.
func (v *version) route(c *call) *route.Route { return v.table.Match(c.host, c.path) }

// sendsTo reports whether the version's route of a call names a service.
func (v *version) sendsTo(c *call, id ident.ServiceID) bool {
	r := v.route(c)
	return r != nil && slices.ContainsFunc(r.Targets, func(t route.Target) bool { return slices.Contains(t.Services, id) })
}

// versions are all versions that were written, oldest first.
type versions []version

// inForce returns the range of versions that may be in force for a request that was sent and
// handled at these times: the newest one whose time to be applied had passed when it was
// sent, and all later ones that were written before it was handled.
func (v versions) inForce(sent, handled time.Time) (oldest, end int) {
	end = v.writtenBefore(handled)
	for oldest = end - 1; oldest > 0; oldest-- {
		if !v[oldest].acknowledged.After(sent.Add(-applyWithin)) {
			break
		}
	}
	return max(oldest, 0), end
}

// writtenBefore returns the number of versions whose write had begun at a time.
func (v versions) writtenBefore(at time.Time) int {
	end := len(v)
	for end > 0 && v[end-1].written.After(at) {
		end--
	}
	return end
}

// newestAt returns the newest version that was acknowledged at a time, or the first one.
func (v versions) newestAt(at time.Time) *version {
	for i := len(v) - 1; i > 0; i-- {
		if !v[i].acknowledged.After(at) {
			return &v[i]
		}
	}
	return &v[0]
}

// firstAllowing returns the oldest version from start to end that allows a handling of a
// call, or end.
func (v versions) firstAllowing(c *call, h handling, start, end int) int {
	for i := start; i < end; i++ {
		if h.allowedBy(&v[i], c) {
			return i
		}
	}
	return end
}

// tells reports whether a version before oldest would handle a call as none from oldest to
// end does.
func (v versions) tells(c *call, oldest, end int) bool {
	for i := range oldest {
		old := v[i].route(c)
		if old == nil {
			if v.firstAllowing(c, notFound, oldest, end) == end {
				return true
			}
			continue
		}
		for _, target := range old.Targets {
			for _, service := range target.Services {
				if v.firstAllowing(c, handling{service: service}, oldest, end) == end {
					return true
				}
			}
		}
	}
	return false
}
