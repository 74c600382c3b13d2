package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// connection is one connection to a server.
type connection struct {
	member   *member
	conn     net.Conn
	tenant   string
	settings map[string]string
	prepared map[string]string // "READ shape" or "WRITE shape" by name.
	state    byte
	plain    bool // The transaction began with BEGIN, not with BEGIN READ.
	term     int  // Of the server when the transaction began.
	writes   []write
}

func (m *member) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		m.group.mu.Lock()
		m.conns[conn] = struct{}{}
		m.group.mu.Unlock()
		go m.serve(conn)
	}
}

func (m *member) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	words := strings.Fields(line)
	if err != nil || len(words) < 3 || words[0] != "STARTUP" {
		return
	}
	if words[1] != m.group.service || (len(words) > 3 && words[3] != m.id) {
		_, _ = fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", m.id)
		return
	}
	time.Sleep(connectTime)
	c := &connection{member: m, conn: conn, tenant: words[2], state: 'I'}
	c.discard()
	m.group.mu.Lock()
	ready := "READY I " + m.position(m.applied) + "\r\n"
	m.group.mu.Unlock()
	_, _ = conn.Write([]byte(ready))
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		answer, ok := c.handle(strings.TrimRight(line, "\r\n"))
		if !ok {
			return
		}
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func (c *connection) discard() {
	c.settings, c.prepared = map[string]string{}, map[string]string{}
}

// handle runs one message. It returns false if the connection ends without an
// answer.
func (c *connection) handle(line string) (string, bool) {
	rest, found := strings.CutPrefix(line, "QUERY ")
	if !found {
		return "", false
	}
	id, text, _ := strings.Cut(rest, " ")
	rows, code, alive := c.run(id, text)
	m := c.member
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if !alive || !m.up {
		return "", false
	}
	var b strings.Builder
	if code == "" {
		for _, row := range rows {
			b.WriteString("DATAROW " + row + "\r\n")
		}
		b.WriteString("COMPLETE " + m.id + "." + id + "\r\n")
	} else {
		b.WriteString("ERROR " + code + " " + m.id + "\r\n")
		if c.state == 'T' {
			c.state = 'E'
		}
	}
	if m.leads {
		m.applied = len(m.log)
	}
	fmt.Fprintf(&b, "READY %c %s\r\n", c.state, m.position(m.applied))
	return b.String(), true
}

func (c *connection) run(id, text string) (rows []string, code string, alive bool) {
	m := c.member
	if after, found := strings.CutPrefix(text, "AFTER "); found {
		position, statement, _ := strings.Cut(after, " ")
		if !m.contains(position) {
			return nil, "LAGGING", true
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "STATUS":
		return []string{m.status()}, "", true
	case "STEPDOWN":
		m.stepDown(rest)
		return []string{m.status()}, "", true
	case "DISCARD":
		c.discard()
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		c.settings[name] = value
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = shape
	case "DEALLOCATE":
		delete(c.prepared, rest)
	case "BEGIN":
		return nil, c.begin(rest == ""), true
	case "COMMIT", "ROLLBACK":
		return c.end(word == "COMMIT")
	case "READ", "WRITE", "EXECUTE":
		return c.statement(id, word, rest)
	default:
		return nil, "MALFORMED", true
	}
	return nil, "", true
}

func (m *member) contains(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, termErr := strconv.Atoi(term)
	n, numberErr := strconv.Atoi(number)
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return termErr == nil && numberErr == nil && m.hasApplied(t, n)
}

func (m *member) status() string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	role := "replica"
	if m.leads {
		role = "primary"
	}
	return fmt.Sprintf("%s %d %s %d 0 0 %d", role, m.term, m.position(len(m.log)), m.term, len(m.conns))
}

func (m *member) stepDown(text string) {
	term, err := strconv.Atoi(text)
	m.group.mu.Lock()
	changed := err == nil && m.leads && m.term < term
	if changed {
		m.leads = false
	}
	m.group.mu.Unlock()
	if changed {
		m.group.record.event("server %s (%s) steps down", m.id, m.zone)
		m.group.register(m)
		m.group.replicate()
	}
}

func (c *connection) begin(plain bool) (code string) {
	m := c.member
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if plain && !m.leads {
		return "READONLY"
	}
	c.state, c.plain, c.term, c.writes = 'T', plain, m.term, nil
	return ""
}

// lostLead reports whether the server of a plain transaction leads no more.
func (c *connection) lostLead() bool {
	m := c.member
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return c.state != 'I' && c.plain && (!m.leads || m.term != c.term)
}

func (c *connection) end(commit bool) (rows []string, code string, alive bool) {
	writes, failed, demoted := c.writes, c.state == 'E', c.lostLead()
	open := c.state != 'I'
	c.state, c.writes = 'I', nil
	switch {
	case !commit || failed:
		return nil, "", true
	case !open:
		return nil, "MALFORMED", true
	case len(writes) == 0:
		return nil, "", true
	case demoted:
		return nil, "READONLY", true
	}
	time.Sleep(statementTime)
	code, alive = c.member.commit(writes)
	return nil, code, alive
}

// statement runs a READ, a WRITE or an EXECUTE. The row of a read is the shape that
// ran, if it was prepared, and the newest data of the item.
func (c *connection) statement(id, word, rest string) (rows []string, code string, alive bool) {
	time.Sleep(statementTime)
	m := c.member
	shape := ""
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		prepared, ok := c.prepared[name]
		if !ok {
			return nil, "NOSTMT", true
		}
		word, shape, _ = strings.Cut(prepared, " ")
		rest = arguments
		m.group.record.executed(m, id, word, shape)
	}
	if c.lostLead() {
		return nil, "READONLY", true
	}
	if word == "READ" {
		row := m.read(rest)
		if shape != "" {
			row = "shape=[" + shape + "] " + row
		}
		return []string{row}, "", true
	}
	item, data, _ := strings.Cut(rest, " ")
	w := write{id, item, data}
	if c.state == 'T' {
		if !c.plain {
			return nil, "READONLY", true
		}
		c.writes = append(c.writes, w)
		return nil, "", true
	}
	code, alive = m.commit([]write{w})
	return nil, code, alive
}

// read returns the newest applied data of the item.
func (m *member) read(item string) string {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	for i := m.applied - 1; i >= 0; i-- {
		for _, w := range m.log[i].writes {
			if w.item == item {
				return w.data
			}
		}
	}
	return "none"
}
