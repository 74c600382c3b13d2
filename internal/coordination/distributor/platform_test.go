package distributor

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

func (n *node) read(ctx context.Context, kind, name string) (Object, error) {
	if err := n.sendToPlatform(ctx, "read "+kind); err != nil {
		return Object{}, err
	}
	n.sim.mu.Lock()
	o := n.sim.objects[kind+"/"+name]
	n.sim.mu.Unlock()
	return o, n.receiveFromPlatform(ctx)
}

func (n *node) list(ctx context.Context, kind string) ([]Object, error) {
	if err := n.sendToPlatform(ctx, "list "+kind); err != nil {
		return nil, err
	}
	return n.sim.objectsOfKind(kind, 0), n.receiveFromPlatform(ctx)
}

func (sim *simulation) objectsOfKind(kind string, after uint64) []Object {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var all []Object
	for _, name := range sim.names[kind] {
		if o := sim.objects[kind+"/"+name]; o.Version > after {
			all = append(all, o)
		}
	}
	return all
}

func (n *node) write(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	if err := n.sendToPlatform(ctx, "write "+kind); err != nil {
		return 0, err
	}
	if err := n.runWriteHook(kind, value, false); err != nil {
		return 0, err
	}
	version, err := n.sim.writeIfVersion(kind, name, value, ifVersion)
	if err != nil {
		return 0, err
	}
	if err := n.runWriteHook(kind, value, true); err != nil {
		return 0, err
	}
	return version, n.receiveFromPlatform(ctx)
}

func (n *node) runWriteHook(kind string, value []byte, done bool) error {
	n.sim.mu.Lock()
	hook := n.sim.onWrite
	n.sim.mu.Unlock()
	if hook == nil {
		return nil
	}
	return hook(n, kind, value, done)
}

func (sim *simulation) writeIfVersion(kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	key := kind + "/" + name
	if sim.objects[key].Version != ifVersion {
		return 0, ErrConflict
	}
	if ifVersion == 0 {
		sim.names[kind] = append(sim.names[kind], name)
	}
	sim.revision++
	sim.objects[key] = Object{Name: name, Value: slices.Clone(value), Version: sim.revision}
	if kind == kindHead {
		sim.recordAccepted(value)
	}
	close(sim.changed)
	sim.changed = make(chan struct{})
	return sim.revision, nil
}

// recordAccepted appends the rate of a newly accepted document.
func (sim *simulation) recordAccepted(value []byte) {
	var h Head
	if json.Unmarshal(value, &h) != nil || int(h.Accepted.Version) <= len(sim.accepted) {
		return
	}
	var r Record
	var doc struct {
		Workspaces map[string]struct{ Rate float64 }
	}
	data, _ := configurer.Join(h.Accepted.Parts, func(n int) ([]byte, error) {
		var p recordPart
		err := json.Unmarshal(sim.objects[kindRecord+"/"+h.Accepted.partName(n)].Value, &p)
		return p.Data, err
	})
	_ = json.Unmarshal(data, &r)
	_ = json.Unmarshal(r.Document, &doc)
	sim.accepted = append(sim.accepted, doc.Workspaces["w"].Rate)
}

func (n *node) watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	if err := n.sendToPlatform(ctx, "watch "+kind); err != nil {
		return nil, 0, err
	}
	limit := time.After(wait)
	for {
		n.sim.mu.Lock()
		wake, rev := n.sim.changed, n.sim.revision
		n.sim.mu.Unlock()
		if changed := n.sim.objectsOfKind(kind, after); len(changed) > 0 {
			n.sim.mu.Lock()
			delay := n.sim.watchDelay
			n.sim.mu.Unlock()
			sleepContext(ctx, delay)
			return changed, rev, n.receiveFromPlatform(ctx)
		}
		select {
		case <-wake:
		case <-limit:
			return nil, max(after, rev), n.receiveFromPlatform(ctx)
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (n *node) live(ctx context.Context) ([]identifier.InstanceID, error) {
	if err := n.sendToPlatform(ctx, "instances"); err != nil {
		return nil, err
	}
	n.sim.mu.Lock()
	var ids []identifier.InstanceID
	for id, other := range n.sim.nodes {
		if !other.dead && !other.unlisted {
			ids = append(ids, id)
		}
	}
	n.sim.mu.Unlock()
	return ids, n.receiveFromPlatform(ctx)
}
