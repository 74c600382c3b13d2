package platformserver

import (
	"encoding/json"
	"sort"
	"sync"
	"time"
)

// Object is a stored object. Version is the revision of its last change. In the
// response to a watch, Deleted marks a deleted object.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// Instance is an entry of the list of instances. Role is "entry" for an instance
// of the proxy or "backend" for a backend server; State is "live" or "leaving".
type Instance struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	State      string `json:"state"`
}

// instanceList is a list of instances and the time from which callers see it.
type instanceList struct {
	visibleAt time.Time
	instances []Instance
}

// store holds the objects and the instance lists. The zero value is empty.
type store struct {
	mu            sync.Mutex
	revision      uint64
	objects       map[string]map[string]Object
	changed       chan struct{}
	instanceLists []instanceList
}

func (st *store) get(kind, name string) (Object, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	o, ok := st.objects[kind][name]
	return o, ok && !o.Deleted
}

// put stores a value, or a tombstone if the value is nil, on the condition that
// the object's version equals ifVersion; 0 stands for an object that does not
// exist. It returns the new object and true, or the current one and false.
func (st *store) put(kind, name string, value json.RawMessage, ifVersion uint64) (Object, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	current := st.objects[kind][name]
	if current.Deleted {
		current.Version = 0
	}
	if current.Version != ifVersion {
		return current, false
	}
	if st.objects == nil {
		st.objects = map[string]map[string]Object{}
	}
	if st.objects[kind] == nil {
		st.objects[kind] = map[string]Object{}
	}
	st.revision++
	o := Object{Kind: kind, Name: name, Version: st.revision, Value: value, Deleted: value == nil}
	st.objects[kind][name] = o
	if st.changed != nil {
		close(st.changed)
		st.changed = nil
	}
	return o, true
}

// list returns the objects of a kind that changed after a revision, ordered by
// version, the current revision, and a channel that the next change closes.
// Tombstones are left out unless includeDeleted is set.
func (st *store) list(kind string, after uint64, includeDeleted bool) ([]Object, uint64, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	objects := []Object{}
	for _, o := range st.objects[kind] {
		if o.Version > after && (includeDeleted || !o.Deleted) {
			objects = append(objects, o)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Version < objects[j].Version })
	if st.changed == nil {
		st.changed = make(chan struct{})
	}
	return objects, st.revision, st.changed
}

func (st *store) setInstances(instances []Instance, visibleAt time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.instanceLists = append(st.instanceLists, instanceList{visibleAt, append([]Instance{}, instances...)})
}

// visibleInstances returns the newest list that is visible at a time, and drops
// the older ones.
func (st *store) visibleInstances(now time.Time) []Instance {
	st.mu.Lock()
	defer st.mu.Unlock()
	for len(st.instanceLists) > 1 && !st.instanceLists[1].visibleAt.After(now) {
		st.instanceLists = st.instanceLists[1:]
	}
	if len(st.instanceLists) == 0 || st.instanceLists[0].visibleAt.After(now) {
		return []Instance{}
	}
	return st.instanceLists[0].instances
}

// currentDataCentre returns the data centre of an instance by the newest list
// that has it, whether or not that list is visible yet; empty if none has it.
func (st *store) currentDataCentre(id string) string {
	st.mu.Lock()
	defer st.mu.Unlock()
	for i := len(st.instanceLists) - 1; i >= 0; i-- {
		for _, instance := range st.instanceLists[i].instances {
			if instance.ID == id {
				return instance.DataCentre
			}
		}
	}
	return ""
}
