package identifier

// InstanceID identifies one run of a proxy instance. An instance gets a new ID
// when it restarts.
type InstanceID string

// DataCentre is the name of a data centre, as given in the settings of each
// instance.
type DataCentre string

// Region is the name of a group of data centres, as given in the settings.
type Region string

// WorkspaceName is the name of a workspace: a customer of the platform, to which
// keys and rate limits belong.
type WorkspaceName string

// ServiceName is the database name that clients connect to. The database group
// of the same name serves it.
type ServiceName string

// BackendServerID identifies a member of a database group.
type BackendServerID string

// KeyID identifies a client's key without revealing the key.
type KeyID string

// RequestID is the identifier that a client assigns to a request that must not
// be executed twice. It is unique within a workspace.
type RequestID string

// Term is the number of a term of a database group. Numbers start at 1 and grow
// with each new primary.
type Term uint64

// LogOffset is a byte offset in the log of a database group.
type LogOffset uint64

// ConfigVersion is the version number of a configuration. The first accepted
// configuration has number 1.
type ConfigVersion uint64
