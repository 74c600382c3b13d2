package configurer

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// Errors of access checks against a view.
var (
	ErrInvalidKey        = errors.New("key is not valid for the workspace")
	ErrServiceNotAllowed = errors.New("service is not open to the workspace")
)

// View is the configuration that an instance enforces: the accepted version, or
// a joint view of the accepted version and the open proposal. In a joint view a
// permission must be granted by both versions and the smaller limit applies, so
// that what the instance permits is correct whether the proposal is accepted or
// rejected.
type View struct {
	Accepted *Document
	Proposed *Document // Nil unless a proposal is open.
}

// Authenticate returns the ID of the key that a client presents for a workspace,
// or [ErrInvalidKey] if no key matches. The lookup uses the SHA-256 of the key.
// Clients cannot choose a prefix of that hash, so the timing of the lookup
// reveals nothing about the stored hashes.
func (v View) Authenticate(workspace identifier.WorkspaceName, key string) (identifier.KeyID, error) {
	id, ok := v.Accepted.keyByHash(HashKey(key))
	if !ok || !v.KeyValid(id, workspace) {
		return "", ErrInvalidKey
	}
	return id, nil
}

// KeyValid reports whether the key is valid for the workspace. In a joint view,
// an ID with different hashes in the two versions refers to two different keys
// and is not valid.
func (v View) KeyValid(id identifier.KeyID, workspace identifier.WorkspaceName) bool {
	return v.inEachVersion(func(d *Document) bool {
		k, ok := d.Keys[id]
		return ok && k.Workspace == workspace && subtle.ConstantTimeCompare([]byte(k.Hash), []byte(v.Accepted.Keys[id].Hash)) == 1
	})
}

// Allowed reports whether the workspace may use the service.
func (v View) Allowed(workspace identifier.WorkspaceName, service identifier.ServiceName) bool {
	return v.inEachVersion(func(d *Document) bool {
		_, ok := d.Services[service]
		return ok && slices.Contains(d.Workspaces[workspace].Services, service)
	})
}

// Limit returns the workspace's rate in requests per second and its burst in
// requests.
func (v View) Limit(workspace identifier.WorkspaceName) (rate, burst float64) {
	w := v.Accepted.Workspaces[workspace]
	rate, burst = w.Rate, w.Burst
	if v.Proposed != nil {
		proposed := v.Proposed.Workspaces[workspace]
		rate, burst = min(rate, proposed.Rate), min(burst, proposed.Burst)
	}
	return rate, burst
}

// Weight returns the workspace's relative share under contention according to the
// accepted version, at least 0.01.
func (v View) Weight(workspace identifier.WorkspaceName) float64 {
	w := v.Accepted.Workspaces[workspace].Weight
	if w == 0 {
		return 1
	}
	return max(w, 0.01)
}

// Route returns the route and whether it exists. In a joint view, the route
// combines the stricter settings of both versions, and it exists only if both
// versions define it for the same service.
func (v View) Route(name string) (Route, bool) {
	r, ok := v.Accepted.Routes[name]
	if !ok || v.Proposed == nil {
		return r, ok
	}
	proposed, ok := v.Proposed.Routes[name]
	if !ok || proposed.Service != r.Service {
		return Route{}, false
	}
	r.Open = r.Open && proposed.Open && r.Workspace == proposed.Workspace
	r.MaxAge = min(r.MaxAge, proposed.MaxAge)
	r.NotRepeatable = r.NotRepeatable || proposed.NotRepeatable
	r.Durable = r.Durable || proposed.Durable
	return r, true
}

// Service returns the service as defined in the accepted version.
func (v View) Service(name identifier.ServiceName) (Service, bool) {
	s, ok := v.Accepted.Services[name]
	return s, ok
}

// HashKey returns the hexadecimal SHA-256 of a key, the form in which keys are
// stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// inEachVersion reports whether the condition holds in every version of the view.
func (v View) inEachVersion(condition func(*Document) bool) bool {
	return condition(v.Accepted) && (v.Proposed == nil || condition(v.Proposed))
}
