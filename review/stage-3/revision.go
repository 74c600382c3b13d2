package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// highRevision is a Unix time in milliseconds, of the day of the review.
const highRevision = 1_796_000_000_000

// revisionProxy stands for a store whose revisions begin above the offset.
type revisionProxy struct {
	target string
	offset uint64
}

// playRevision starts a small deployment with a store whose revisions begin at a Unix time
// in milliseconds, and lets clients write at each instance, once a second.
func playRevision(r *record, trouble bool) (int, error) {
	f, err := newFleet(r, load{rate: usualRate})
	if err != nil {
		return notRun, err
	}
	defer f.close()
	target, err := f.store.Start()
	if err != nil {
		return notRun, err
	}
	p := revisionProxy{target: target}
	if trouble {
		p.offset = highRevision
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return notRun, err
	}
	server := &http.Server{Handler: &p, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	if err := f.addInstances(3, l.Addr().String()); err != nil {
		return notRun, err
	}
	for _, n := range f.instances {
		if err := n.start(); err != nil {
			return notRun, err
		}
	}
	served, sent := 0, 0
	for second := range 15 {
		time.Sleep(time.Second)
		for _, n := range f.instances {
			id := fmt.Sprintf("s%d-%s", second, n.ip)
			sent++
			s, err := dial(n.front(), "primary")
			if err != nil {
				r.add("%s: ready %t; STARTUP primary -> %v", n.name, n.isReady(), err)
				continue
			}
			a, err := s.query(id, "WRITE 1a4 x", 2*time.Second)
			s.close()
			r.add("%s: ready %t; %s WRITE 1a4 x -> code %q, signature %q, error %v", n.name, n.isReady(), id, a.code, a.signature, err)
			if err == nil && a.code == "" {
				served++
			}
		}
	}
	r.add("%d of %d requests served; %d statements reached the backends", served, sent, len(f.group.Executions()))
	if served == 0 {
		return broken, nil
	}
	return held, nil
}

// ServeHTTP passes a call on to the store, with each revision less the offset, and answers
// with its answer, with each revision plus the offset.
func (p *revisionProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u := *r.URL
	u.Scheme, u.Host = "http", p.target
	query := u.Query()
	if n, err := strconv.ParseUint(query.Get("revision"), 10, 64); err == nil {
		query.Set("revision", strconv.FormatUint(n-p.offset, 10))
		u.RawQuery = query.Encode()
	}
	call, err := http.NewRequestWithContext(r.Context(), r.Method, u.String(), bytes.NewReader(p.shift(body, -p.offset))) //nolint:gosec // A loopback address.
	if err != nil {
		return
	}
	call.Header = r.Header.Clone()
	answer, err := http.DefaultClient.Do(call) //nolint:gosec // A loopback address.
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.StatusCode)
	_, _ = w.Write(p.shift(data, p.offset)) // Fails if the caller has gone.
}

// shift adds the difference to the revisions in an object or a list, except 0.
func (p *revisionProxy) shift(data []byte, difference uint64) []byte {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var body map[string]any
	if decoder.Decode(&body) != nil {
		return data
	}
	shiftField(body, "currentRev", difference)
	shiftMeta(body, difference)
	items, _ := body["items"].([]any)
	for _, item := range items {
		if object, ok := item.(map[string]any); ok {
			shiftMeta(object, difference)
		}
	}
	shifted, err := json.Marshal(body)
	if err != nil {
		return data
	}
	return shifted
}

func shiftMeta(object map[string]any, difference uint64) {
	if meta, ok := object["meta"].(map[string]any); ok {
		shiftField(meta, "revision", difference)
	}
}

func shiftField(object map[string]any, name string, difference uint64) {
	number, ok := object[name].(json.Number)
	if !ok {
		return
	}
	if n, err := strconv.ParseUint(number.String(), 10, 64); err == nil && n != 0 {
		object[name] = n + difference
	}
}
