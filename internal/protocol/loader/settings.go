package loader

import (
	"oleanderpulley/internal/state/identifier"
)

// Settings holds all settings that an instance reads when it starts. The defaults
// are for a single instance on loopback.
type Settings struct {
	InstanceID identifier.InstanceID `json:"instance_id" usage:"identity of this instance; a random one per start when empty"`
	DataCentre identifier.DataCentre `json:"data_centre" default:"local" usage:"data centre of this instance"`
	LogLevel   string                `json:"log_level" default:"info" oneof:"debug,info,warn,error" usage:"lowest level that is logged"`
	Clients    Clients               `json:"clients"`
	Admin      Admin                 `json:"admin"`
	Peers      Peers                 `json:"peers"`
	Metrics    Metrics               `json:"metrics"`
	Platform   Platform              `json:"platform"`
	Backend    Backend               `json:"backend"`
	Timeouts   Timeouts              `json:"timeouts"`
	Limits     Limits                `json:"limits"`
}

// Clients configures the listener for PostgreSQL clients.
type Clients struct {
	Listen      string `json:"listen" default:"127.0.0.1:6432" check:"address" usage:"address for clients"`
	TLSCertFile string `json:"tls_cert_file" usage:"certificate for clients, needed off loopback"`
	TLSKeyFile  string `json:"tls_key_file" usage:"private key of the certificate"`
}

// Admin configures the listener of the admin API for operators.
type Admin struct {
	Listen      string  `json:"listen" default:"127.0.0.1:6480" check:"address" usage:"address for operators"`
	TLSCertFile string  `json:"tls_cert_file" usage:"certificate for operators, needed off loopback"`
	TLSKeyFile  string  `json:"tls_key_file" usage:"private key of the certificate"`
	TokensFile  string  `json:"tokens_file" usage:"file with one SHA-256 of a bearer token, a space and the operator's name a line"`
	Tokens      []Token `json:"-" secret:"tokens_file"`
}

// Token is the credential of an operator. Only its hash is stored.
type Token struct {
	Operator string
	Hash     string // Hexadecimal SHA-256 of the token.
}

// Peers configures the listener for other instances.
type Peers struct {
	Listen      string `json:"listen" default:"127.0.0.1:6490" check:"address" usage:"address for other instances"`
	TLSCertFile string `json:"tls_cert_file" usage:"certificate towards other instances, needed off loopback"`
	TLSKeyFile  string `json:"tls_key_file" usage:"private key of the certificate"`
	TLSCAFile   string `json:"tls_ca_file" usage:"authority that signs the certificates of all instances"`
}

// Metrics configures the listener for metrics and health checks.
type Metrics struct {
	Listen string `json:"listen" default:"127.0.0.1:6491" check:"address" usage:"address for metrics and health"`
}

// Platform configures the connection to the API of the platform.
type Platform struct {
	URL         string `json:"url" default:"http://127.0.0.1:6470" check:"url" usage:"base URL of the platform; https off loopback"`
	TLSCAFile   string `json:"tls_ca_file" usage:"authority of the platform's certificate; the system's when empty"`
	TLSCertFile string `json:"tls_cert_file" usage:"certificate towards the platform"`
	TLSKeyFile  string `json:"tls_key_file" usage:"private key of the certificate"`
}

// Backend configures the authentication at backend servers.
type Backend struct {
	User         string `json:"user" default:"oleanderpulley" usage:"user at backend servers"`
	PasswordFile string `json:"password_file" usage:"file with the password at backend servers, of which one line end is cut"`
	TLSCAFile    string `json:"tls_ca_file" usage:"authority of the backend servers' certificates; no TLS when empty"`
	Password     string `json:"-" secret:"password_file"`
}

// Timeouts are the timeouts and intervals that an operator may change. The
// validity times C and L of the protocol and the 8 s limit of a proposal are not
// settings, because they must be equal on all instances.
type Timeouts struct {
	Statement       Duration `json:"statement" default:"30s" min:"10ms" max:"24h" usage:"longest run of a statement"`
	Drain           Duration `json:"drain" default:"30s" min:"0s" max:"1h" usage:"wait for open transactions at a stop"`
	Startup         Duration `json:"startup" default:"10s" min:"100ms" max:"5m" usage:"longest login of a client"`
	BackendConnect  Duration `json:"backend_connect" default:"2s" min:"10ms" max:"1m" usage:"longest connection attempt to a backend server"`
	BackendIdle     Duration `json:"backend_idle" default:"5m" min:"1s" max:"24h" usage:"unused backend connections are closed after this"`
	Probe           Duration `json:"probe" default:"300ms" min:"50ms" max:"10s" usage:"a probe without an answer is repeated on a new connection"`
	PlatformCall    Duration `json:"platform_call" default:"2s" min:"50ms" max:"30s" usage:"longest call of the platform; a watch adds its wait"`
	PeerPing        Duration `json:"peer_ping" default:"1s" min:"50ms" max:"10s" usage:"interval of pings to peers; 3 missed close the link"`
	ClientKeepalive Duration `json:"client_keepalive" default:"15s" min:"1s" max:"1h" usage:"interval of TCP keepalive to clients"`
	ReplicaWait     Duration `json:"replica_wait" default:"5ms" min:"0s" max:"1s" usage:"longest wait for a replica before the primary is used"`
	RateWait        Duration `json:"rate_wait" default:"50ms" min:"0s" max:"1s" usage:"longest wait of a request for tokens of peers"`
}

// Limits bound the resources that one instance uses.
type Limits struct {
	ClientConnections  int     `json:"client_connections" default:"20000" min:"1" max:"1000000" usage:"open client connections"`
	QueuePerWorkspace  int     `json:"queue_per_workspace" default:"64" min:"1" max:"10000" usage:"waiting requests of a workspace per backend server"`
	MessageBytes       Size    `json:"message_bytes" default:"64MB" min:"1KB" max:"1GB" usage:"largest message of a client"`
	PreparedStatements int     `json:"prepared_statements" default:"1000" min:"0" max:"100000" usage:"prepared statements of a session"`
	RetryBudget        float64 `json:"retry_budget" default:"0.1" min:"0" max:"1" usage:"retries as a share of requests"`
}
