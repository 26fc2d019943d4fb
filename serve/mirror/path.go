package mirror

import (
	"slices"

	"carawaycross.example/carawaycross/core/ident"
	"carawaycross.example/carawaycross/platform"
)

// A PathChange is an answer that came by another path than the one before it.
type PathChange struct {
	Kind string
	// From and To hold the VMs of the two paths, nearest first; none for the store.
	From, To []ident.VMID
	// Version is the version of the objects after the answer.
	Version platform.StoreVersion
}

// A pathLog compares the paths of successive answers. The zero value is ready to use.
type pathLog struct {
	// changed, if not nil, is called with each change of the path.
	changed func(PathChange)
	// last is the path of the last answer. It has no meaning until answered is true.
	last     []ident.VMID
	answered bool
}

// record records the path of an answer and reports whether the last answer had another one,
// which it returns.
func (l *pathLog) record(path []ident.VMID) (from []ident.VMID, changed bool) {
	from, changed = l.last, l.answered && !slices.Equal(l.last, path)
	l.last, l.answered = path, true
	return from, changed
}

// OnPathChange sets the function that is called with each change of the path. It must be
// called before the first read; f is called by List and Changes.
func (r *Reader[T]) OnPathChange(f func(PathChange)) { r.outages.paths.changed = f }
