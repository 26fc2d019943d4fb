package mirror

import (
	"time"

	"carawaycross.example/carawaycross/platform"
)

// maxWithheld is how long a store that drops its history may withhold changes from watches.
const maxWithheld = 3 * time.Second

// emptyWatches are watches of the store in a row that returned no changes. A store that drops
// its history withholds changes for a moment, and a watch that ends then leads past them.
// Watches are therefore continued from a version that is older than maxWithheld. The zero
// value is ready to use.
type emptyWatches struct {
	// begun holds the watches in the order in which they began. All but the first began less
	// than maxWithheld before the last one.
	begun []emptyWatch
	// to is the version that the last one led to.
	to platform.StoreVersion
}

// An emptyWatch is a watch that began at a time and continued from a version.
type emptyWatch struct {
	at   time.Time
	from platform.StoreVersion
}

// continueFrom returns the version from which to watch for changes after a version.
func (w *emptyWatches) continueFrom(now time.Time, after platform.StoreVersion) platform.StoreVersion {
	if len(w.begun) == 0 || w.to != after {
		*w = emptyWatches{}
		return after
	}
	for len(w.begun) > 1 && now.Sub(w.begun[1].at) >= maxWithheld {
		w.begun = w.begun[1:]
	}
	return w.begun[0].from
}

// add adds a watch that began at a time and led from one version to another without changes.
func (w *emptyWatches) add(at time.Time, from, to platform.StoreVersion) {
	w.begun = append(w.begun, emptyWatch{at, from})
	w.to = to
}
