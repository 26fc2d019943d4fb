package standin

import "maps"

// A storeCopy holds the objects of a store and its revision.
type storeCopy struct {
	revision uint64
	kinds    map[string]map[string]storedObject
}

// Copy keeps a copy of all objects, for Restore.
func (p *Platform) Copy() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copied = storeCopy{p.revision, cloneKinds(p.kinds)}
}

func cloneKinds(kinds map[string]map[string]storedObject) map[string]map[string]storedObject {
	out := make(map[string]map[string]storedObject, len(kinds))
	for kind, objects := range kinds {
		out[kind] = maps.Clone(objects)
	}
	return out
}

// Restore begins the next era with the objects of the last Copy: changes since are lost,
// their revisions are given out again, and watches from them fail.
func (p *Platform) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.revision, p.kinds = p.copied.revision, cloneKinds(p.copied.kinds)
	p.compactedTo, p.history = p.revision, nil
	p.notifyWatchesLocked()
}
