package backendserver

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
)

const (
	maxPullWait    = 200 * time.Millisecond // longest time that the primary waits for new entries before it responds
	pullRetryDelay = 20 * time.Millisecond  // delay of a replica after a failed pull
	maxPullEntries = 1000                   // limit of entries in one response

	replicationUser = "replication"
)

// errNoLink reports that a member is unreachable or refuses to replicate its
// log.
var errNoLink = errors.New("no replication link")

// pullRequest is the request of a replica for log entries. It describes the log
// that the replica has. Its field names are part of the JSON of group_pull.
type pullRequest struct {
	Member     string
	DataCentre string
	Lineage    string
	Promised   uint64
	Received   uint64
	History    []TermStart
	Lag        time.Duration // minimum age of an entry before it is sent
}

// pullResponse contains the term history of the primary and either Common, the
// offset to which the replica must truncate its log, or the entries that follow
// the replica's log. Its field names are part of the JSON of group_pull.
type pullResponse struct {
	Member     string
	DataCentre string
	Lineage    string
	Term       uint64
	History    []TermStart
	Truncate   bool
	Common     uint64
	Entries    []entry
}

// servePull responds to a replica. It waits up to maxPullWait for new entries.
func (s *Server) servePull(ctx context.Context, req pullRequest) (pullResponse, error) {
	reachable := func() bool { return !s.faults.Paused && !s.isMemberCut(req.Member, req.DataCentre) }
	if err := s.waitUntil(ctx, reachable); err != nil {
		return pullResponse{}, err
	}
	deadline := time.Now().Add(maxPullWait)
	for {
		s.mu.Lock()
		response, delay, err := s.tryPull(req)
		changed := s.stateChanged
		s.mu.Unlock()
		if err != nil {
			return pullResponse{}, err
		}
		wait := time.Until(deadline)
		if response.Truncate || len(response.Entries) > 0 || wait <= 0 {
			return response, s.waitUntil(ctx, reachable)
		}
		if delay > 0 {
			wait = min(wait, delay)
		}
		if err := waitUpTo(ctx, wait, changed); err != nil {
			return pullResponse{}, err
		}
	}
}

// tryPull responds to a replica without waiting. Delay is the time until the
// next entry reaches the age at which it may be sent; it is positive only if
// there is such an entry. The caller must hold s.mu.
func (s *Server) tryPull(req pullRequest) (response pullResponse, delay time.Duration, err error) {
	m := &s.member
	if s.down || m.role != RolePrimary || m.term < req.Promised {
		return response, 0, errors.Wrapf(errNoLink, "%s: role %s, term %d", s.ID, m.role, m.term)
	}
	if req.Lineage != "" && req.Lineage != m.lineage {
		return response, 0, errors.Wrapf(errNoLink, "%s: log of lineage %s, not %s", s.ID, m.lineage, req.Lineage)
	}
	response = pullResponse{Member: s.ID, DataCentre: s.DataCentre, Lineage: m.lineage, Term: m.term, History: slices.Clone(m.history)}
	response.Common = commonPrefixEnd(m.history, m.received(), req.History, req.Received)
	if response.Common < req.Received {
		response.Truncate = true
		return response, 0, nil
	}
	first, _ := slices.BinarySearchFunc(m.log, req.Received, func(e entry, o uint64) int {
		if e.Start < o {
			return -1
		}
		return 1
	})
	now := time.Now().UnixNano()
	for _, e := range m.log[first:] {
		if delay = time.Duration(e.At - now + int64(req.Lag)); delay > 0 || len(response.Entries) == maxPullEntries {
			return response, delay, nil
		}
		response.Entries = append(response.Entries, e)
	}
	return response, 0, nil
}

// pullJSON serves the SQL function group_pull, whose argument and result are
// JSON.
func (s *Server) pullJSON(ctx context.Context, request string) (string, error) {
	var req pullRequest
	if err := json.Unmarshal([]byte(request), &req); err != nil {
		return "", sqlErrorf("22023", "pull request: %v", err)
	}
	response, err := s.servePull(ctx, req)
	if err != nil {
		return "", sqlErrorf("55000", "%v", err)
	}
	body, err := json.Marshal(response)
	return string(body), errors.Wrapf(err, "encode pull response for member %s", req.Member)
}

// startFollowing replaces the replication link to the primary by a new one. The
// caller must hold s.mu.
func (s *Server) startFollowing() {
	s.stopFollowing()
	if s.down || s.member.follows == "" || s.member.role != RoleReplica {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancelFollowing = cancel
	address := s.member.follows
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		for ctx.Err() == nil {
			_ = s.followUntilError(ctx, address)
			_ = waitUpTo(ctx, pullRetryDelay, nil)
		}
	}()
}

// stopFollowing ends the replication link to the primary, if any. The caller
// must hold s.mu.
func (s *Server) stopFollowing() {
	if s.cancelFollowing != nil {
		s.cancelFollowing()
		s.cancelFollowing = nil
	}
}

// followUntilError pulls log entries from the primary until an error occurs.
func (s *Server) followUntilError(ctx context.Context, address string) error {
	pull := func(ctx context.Context, req pullRequest) (pullResponse, error) {
		return s.Group.serverAt(address).servePull(ctx, req)
	}
	if s.Group.serverAt(address) == nil {
		config, err := pgconn.ParseConfig("postgres://" + replicationUser + "@" + address + "/?sslmode=disable&connect_timeout=2")
		if err != nil {
			return errors.Wrapf(err, "parse address %q of the primary", address)
		}
		config.Password = s.Password
		conn, err := pgconn.ConnectConfig(ctx, config)
		if err != nil {
			return errors.Wrapf(err, "connect to the primary at %s", address)
		}
		defer func() { _ = conn.Close(context.WithoutCancel(ctx)) }()
		pull = func(ctx context.Context, req pullRequest) (pullResponse, error) { return pullOverSQL(ctx, conn, req) }
	}
	for {
		s.mu.Lock()
		m := &s.member
		req := pullRequest{s.ID, s.DataCentre, m.lineage, m.promised, m.received(), slices.Clone(m.history), s.ReceiveLag}
		s.mu.Unlock()
		response, err := pull(ctx, req)
		if err != nil {
			return err
		}
		if err := s.receiveResponse(ctx, req, response); err != nil {
			return err
		}
	}
}

func pullOverSQL(ctx context.Context, conn *pgconn.PgConn, req pullRequest) (response pullResponse, err error) {
	body, err := json.Marshal(req)
	if err != nil {
		return response, errors.Wrapf(err, "encode pull request of member %s", req.Member)
	}
	res := conn.ExecParams(ctx, "SELECT group_pull($1)", [][]byte{body}, nil, nil, nil).Read()
	if res.Err != nil {
		return response, errors.Wrap(res.Err, "pull")
	}
	if len(res.Rows) != 1 {
		return response, errors.Wrapf(errNoLink, "group_pull returned %d rows instead of 1", len(res.Rows))
	}
	return response, errors.Wrap(json.Unmarshal(res.Rows[0][0], &response), "decode pull response")
}

// receiveResponse applies the primary's response to the log. It returns an
// error if the link was replaced, or if the member has promised a higher term
// than that of the primary.
func (s *Server) receiveResponse(ctx context.Context, req pullRequest, response pullResponse) error {
	err := s.waitUntil(ctx, func() bool { return !s.faults.Paused && !s.isMemberCut(response.Member, response.DataCentre) })
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.member
	if ctx.Err() != nil || m.received() != req.Received || response.Term < m.promised {
		return errors.Wrapf(errNoLink, "%s: response of %s in term %d is outdated", s.ID, response.Member, response.Term)
	}
	switch {
	case response.Truncate:
		m.truncate(response.Common)
	case len(response.Entries) > 0 && response.Entries[0].Start != m.received():
		return errors.Wrapf(errNoLink, "%s: gap in the log between offsets %d and %d", s.ID, m.received(), response.Entries[0].Start)
	default:
		m.log = append(m.log, response.Entries...)
	}
	m.lineage = response.Lineage
	m.history = m.history[:0:0]
	for _, h := range response.History {
		if h.Offset <= m.received() {
			m.history = append(m.history, h)
			m.term = h.Term
		}
	}
	s.notify()
	return nil
}

// applyLog applies received entries as soon as they are ApplyLag old, until the
// context ends.
func (s *Server) applyLog(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		m := &s.member
		delay := time.Hour
		for !s.faults.Paused && m.applied < len(m.log) {
			delay = time.Duration(m.log[m.applied].At - time.Now().UnixNano() + int64(s.ApplyLag))
			if delay > 0 {
				break
			}
			m.applyTo(m.applied + 1)
			delay = time.Hour
		}
		changed := s.stateChanged
		s.mu.Unlock()
		_ = waitUpTo(ctx, delay, changed)
	}
}

// waitUpTo waits for a duration, an event or the end of the context, whichever
// comes first.
func waitUpTo(ctx context.Context, d time.Duration, event <-chan struct{}) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-event:
	case <-ctx.Done():
	}
	return ctx.Err()
}
