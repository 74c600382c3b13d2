package distributor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/identifier"
)

// Kinds and names of objects on the platform.
const (
	kindHead   = "config"
	nameHead   = "head"
	kindRecord = "config_document"
	kindRoster = "roster"
)

// ErrConflict reports a conditional update whose condition did not hold. After
// any other error it is unknown whether the update took effect.
var ErrConflict = errors.New("the object has another version")

// Object is an object of the platform. Version 0 stands for an absent object.
type Object struct {
	Name    string
	Value   []byte // JSON.
	Version uint64
}

// Platform holds the functions that call the object API of the platform.
type Platform struct {
	Read  func(ctx context.Context, kind, name string) (Object, error)
	List  func(ctx context.Context, kind string) ([]Object, error)
	Write func(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (version uint64, err error)
	// Watch waits for a change to objects of the kind after a revision. It
	// returns the changed objects and the revision to continue from.
	Watch func(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, uint64, error)
	// Live returns the instances that the platform lists as live, including those
	// that are leaving.
	Live func(ctx context.Context) ([]identifier.InstanceID, error)
}

// platformTimeout limits one call to the platform (docs/design.md, 5.9).
const platformTimeout = 2 * time.Second

func (p *Platform) read(ctx context.Context, kind, name string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return p.Read(ctx, kind, name)
}

func (p *Platform) list(ctx context.Context, kind string) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return p.List(ctx, kind)
}

func (p *Platform) write(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return p.Write(ctx, kind, name, value, ifVersion)
}
