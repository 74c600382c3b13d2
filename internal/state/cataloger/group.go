package cataloger

import (
	"slices"

	"oleanderpulley/internal/state/identifier"
)

// DatabaseGroup is the object in the store that lists the servers of a service
// with synchronous replication which may have acknowledged commits. Registrations
// of servers that fail lapse within seconds and instances forget, so that neither
// tells who had the commits when a primary is to be replaced. Releases before this
// object neither read nor write it.
type DatabaseGroup struct {
	Members []GroupMember `json:"members"` // Ascending by id.
	// Primary led when the object was written, if the primary of the service had
	// never been replaced; a leadership record names every later one.
	Primary identifier.BackendServerID `json:"primary,omitempty"`
	// Revision is that of the object in the store, zero if the store has none.
	Revision Revision `json:"-"`
}

// GroupMember is a server of a [DatabaseGroup], with what is needed to query it once
// it is no longer registered.
type GroupMember struct {
	ID         identifier.BackendServerID `json:"id"`
	Address    string                     `json:"address"`
	DataCentre identifier.DataCentre      `json:"data_centre,omitempty"`
}

// Includes reports whether the group has a member with the id.
func (g DatabaseGroup) Includes(id identifier.BackendServerID) bool {
	return slices.ContainsFunc(g.Members, func(m GroupMember) bool { return m.ID == id })
}

// Equal reports whether both objects say the same, whatever their revisions are.
func (g DatabaseGroup) Equal(o DatabaseGroup) bool {
	return g.Primary == o.Primary && slices.Equal(g.Members, o.Members)
}
