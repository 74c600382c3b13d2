package backendserver

import (
	"context"
	"maps"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// errFailedBlock refuses statements in a failed block until COMMIT or ROLLBACK.
var errFailedBlock = sqlErrorf("25P02", "current transaction is aborted, commands ignored until end of transaction block")

func endsBlock(st *statement) bool { return st.verb == "commit" || st.verb == "rollback" }

// ensureTransaction returns the open transaction of the session, or opens one.
func (ss *session) ensureTransaction() *transaction {
	if ss.tx == nil {
		ss.server.mu.Lock()
		ss.tx = &transaction{term: ss.server.member.term}
		ss.server.mu.Unlock()
	}
	return ss.tx
}

// commitImplicit commits the implicit transaction of statements outside of a
// block.
func (ss *session) commitImplicit() error {
	if ss.inBlock || ss.tx == nil {
		return nil
	}
	return ss.commit()
}

// commit commits the transaction of the session. It waits while the server is
// paused.
func (ss *session) commit() error {
	tx, s := ss.tx, ss.server
	if tx == nil {
		return nil
	}
	var rejected error
	loseResponse := false
	err := s.waitUntil(ss.ctx, func() bool {
		if s.faults.Paused {
			return false
		}
		rejected = s.tryCommit(ss, tx)
		if rejected == nil && len(tx.ops) > 0 && s.faults.LoseCommits > 0 {
			s.faults.LoseCommits--
			loseResponse = true
		}
		return true
	})
	if err != nil {
		return err
	}
	if rejected != nil {
		return rejected
	}
	if tx.savedSettings != nil {
		for name := range tx.localSettings {
			ss.applySetting(name, tx.savedSettings[name])
		}
	}
	ss.clearTransaction()
	if loseResponse {
		ss.reset()
		return errDropped
	}
	return nil
}

// tryCommit appends the changes of the transaction to the log as one entry,
// unless the member is no longer the primary of the term in which the
// transaction began, or has promised a higher term. The caller must hold s.mu.
func (s *Server) tryCommit(ss *session, tx *transaction) error {
	m := &s.member
	if ss.ctx.Err() != nil {
		return errDropped
	}
	if len(tx.ops) > 0 {
		if m.role != RolePrimary || m.term != tx.term {
			return sqlErrorf("25006", "cannot commit: not the primary of term %d any more", tx.term)
		}
		if m.promised > m.term {
			return sqlErrorf("25006", "cannot commit: term %d is promised", m.promised)
		}
		e := entry{Start: m.received(), End: m.received(), At: time.Now().UnixNano(), Ops: tx.ops}
		for _, o := range tx.ops {
			e.End += o.size()
		}
		m.log = append(m.log, e)
		m.applyTo(len(m.log))
	}
	for _, r := range tx.records {
		r.Committed, r.Term = true, m.term
		if len(tx.ops) > 0 {
			r.End = m.received()
		}
	}
	s.releaseLocks(tx)
	return nil
}

// rollback discards the changes, the locks and the settings of the transaction.
// An open block stays open.
func (ss *session) rollback() {
	tx, s := ss.tx, ss.server
	if tx == nil {
		return
	}
	s.mu.Lock()
	s.releaseLocks(tx)
	s.mu.Unlock()
	if tx.savedSettings != nil {
		for name := range ss.settings {
			if _, ok := tx.savedSettings[name]; !ok {
				delete(ss.settings, name)
			}
		}
		for name, v := range tx.savedSettings {
			ss.applySetting(name, v)
		}
	}
	ss.clearTransaction()
}

// clearTransaction closes the transaction and its portals.
func (ss *session) clearTransaction() {
	ss.tx = nil
	clear(ss.portals)
}

// releaseLocks releases the locks of a transaction. It notifies waiters only if
// the transaction holds locks, because otherwise it has changed nothing that
// others wait for. The caller must hold s.mu.
func (s *Server) releaseLocks(tx *transaction) {
	if len(tx.locks) > 0 {
		s.notify()
	}
	for _, key := range tx.locks {
		if s.locks[key] == tx {
			delete(s.locks, key)
		}
	}
	tx.locks = nil
}

// acquireLock takes the lock of a row or of a table name, and waits for the
// transaction that holds it. It returns an error if waiting would cause a
// deadlock.
func (ss *session) acquireLock(ctx context.Context, tx *transaction, key string) error {
	s := ss.server
	var deadlock error
	err := s.waitUntil(ctx, func() bool {
		holder := s.locks[key]
		if holder == nil {
			s.locks[key] = tx
			tx.locks = append(tx.locks, key)
		}
		if holder == nil || holder == tx {
			tx.waitsFor = ""
			return true
		}
		for w := holder; w != nil && w.waitsFor != ""; w = s.locks[w.waitsFor] {
			if s.locks[w.waitsFor] == tx {
				deadlock = sqlErrorf("40P01", "deadlock detected")
				tx.waitsFor = ""
				return true
			}
		}
		tx.waitsFor = key
		return false
	})
	if err != nil {
		s.mu.Lock()
		tx.waitsFor = ""
		s.mu.Unlock()
		return err
	}
	return deadlock
}

// runControl executes statements that control transactions, settings or the
// connection.
func (ss *session) runControl(st *statement) (*result, error) {
	switch st.verb {
	case "begin":
		if ss.inBlock {
			ss.backend.Send(&pgproto3.NoticeResponse{Severity: "WARNING", Code: "25001", Message: "there is already a transaction in progress"})
		}
		ss.ensureTransaction().readOnly = st.readOnly
		ss.inBlock = true
		return &result{tag: "BEGIN"}, nil
	case "commit":
		failed := ss.blockFailed
		ss.inBlock, ss.blockFailed = false, false
		if failed {
			return &result{tag: "ROLLBACK"}, nil
		}
		return &result{tag: "COMMIT"}, ss.commit()
	case "rollback":
		ss.inBlock, ss.blockFailed = false, false
		ss.rollback()
		return &result{tag: "ROLLBACK"}, nil
	case "set":
		if err := checkSettingName(st.name); err != nil {
			return nil, err
		}
		ss.saveSettings(st)
		ss.applySetting(st.name, st.value)
		return &result{tag: "SET"}, nil
	case "reset":
		ss.saveSettings(st)
		if st.name == "all" {
			ss.resetSettings()
		} else {
			ss.applySetting(st.name, ss.defaults[st.name])
		}
		return &result{tag: "RESET"}, nil
	case "show":
		v, ok := ss.settings[st.name]
		if !ok {
			return nil, sqlErrorf("42704", "unrecognized configuration parameter %q", st.name)
		}
		return &result{columns: showColumns(st), rows: [][]value{{textValue(v)}}, tag: "SHOW"}, nil
	case "discard":
		return ss.discardAll()
	case "prepare":
		return &result{tag: "PREPARE"}, ss.prepare(st.name, st.body, st.types)
	case "deallocate":
		if st.name == "all" {
			clear(ss.prepared)
			return &result{tag: "DEALLOCATE ALL"}, nil
		}
		delete(ss.prepared, st.name)
		return &result{tag: "DEALLOCATE"}, nil
	case "listen":
		return &result{tag: "LISTEN"}, nil
	case "unlisten":
		return &result{tag: "UNLISTEN"}, nil
	}
	return &result{tag: "NOTIFY"}, nil
}

func showColumns(st *statement) []column { return []column{{st.name, 25, false}} }

func (ss *session) discardAll() (*result, error) {
	if ss.inBlock || ss.multiStatement {
		return nil, sqlErrorf("25001", "DISCARD ALL cannot run inside a transaction block")
	}
	ss.resetSettings()
	clear(ss.prepared)
	ss.server.mu.Lock()
	ss.server.releaseAdvisoryLocks(ss)
	ss.server.notify()
	ss.server.mu.Unlock()
	return &result{tag: "DISCARD ALL"}, nil
}

// saveSettings saves the settings before the first change in a transaction, for
// a rollback, and the names of the settings that SET LOCAL changes, for the
// commit.
func (ss *session) saveSettings(st *statement) {
	tx := ss.ensureTransaction()
	if tx.savedSettings == nil {
		tx.savedSettings, tx.localSettings = maps.Clone(ss.settings), map[string]bool{}
	}
	if st.local {
		tx.localSettings[st.name] = true
	}
}

// applySetting sets a setting, and reports it to the client if it has changed.
func (ss *session) applySetting(name, v string) {
	if old, ok := ss.settings[name]; ok && old == v {
		return
	}
	ss.settings[name] = v
	ss.reportSetting(name)
}

// resetSettings restores the defaults and deletes settings without a default.
func (ss *session) resetSettings() {
	for name := range ss.settings {
		if v, ok := ss.defaults[name]; ok {
			ss.applySetting(name, v)
		} else {
			delete(ss.settings, name)
		}
	}
}
