package pooler

// Parameters are the run-time parameters (ParameterStatus messages) that a
// backend server reported during login, in the order of its messages.
type Parameters struct {
	Names  []string
	Values []string // Values[i] belongs to Names[i].
}

// Lookup returns the value of a parameter and whether the server reported it.
func (ps *Parameters) Lookup(name string) (string, bool) {
	for i, n := range ps.Names {
		if n == name {
			return ps.Values[i], true
		}
	}
	return "", false
}

// defaultParameters are reported to clients until the first connection to a
// server of their database is open. Differences from the actual values are
// reported to the client with the session's first statement.
var defaultParameters = &Parameters{
	Names: []string{"server_version", "server_encoding", "client_encoding", "DateStyle", "IntervalStyle", "TimeZone",
		"integer_datetimes", "standard_conforming_strings"},
	Values: []string{"16.0", "UTF8", "UTF8", "ISO, MDY", "postgres", "UTC", "on", "on"},
}

// Parameters returns the parameters that a server of the database last reported,
// or defaults if none did yet.
func (p *Pooler) Parameters(database string) *Parameters {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ps := p.parameters[database]; ps != nil {
		return ps
	}
	return defaultParameters
}

// internParameters stores the parameters of a new connection. It returns the
// stored pointer if the values are equal, so that sessions can compare
// parameters by pointer.
func (p *Pooler) internParameters(database string, ps *Parameters) *Parameters {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cached := p.parameters[database]; cached != nil && cached.equal(ps) {
		return cached
	}
	if p.parameters == nil {
		p.parameters = map[string]*Parameters{}
	}
	p.parameters[database] = ps
	return ps
}

func (ps *Parameters) equal(other *Parameters) bool {
	if len(ps.Names) != len(other.Names) {
		return false
	}
	for i, name := range ps.Names {
		if v, ok := other.Lookup(name); !ok || v != ps.Values[i] {
			return false
		}
	}
	return true
}
