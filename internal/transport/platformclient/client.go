package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Sentinel errors of calls. They are wrapped with the call's method and path.
var (
	ErrNotFound       = errors.New("platform: no such object")
	ErrConflict       = errors.New("platform: version differs")
	ErrUnavailable    = errors.New("platform: unavailable, nothing was changed")
	ErrOutcomeUnknown = errors.New("platform: no answer to a write, outcome unknown")
	ErrRefused        = errors.New("platform: call refused")
)

// defaultTimeout is the timeout of a call, as section 5.9 of the design document
// specifies it.
const defaultTimeout = 2 * time.Second

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 256 << 20

// Object is an object that the platform stores. Version is the platform-wide
// revision of its last change. Deleted marks a deleted object in the result of a
// watch.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// Instance is an entry of the platform's list of instances. Role is "entry" or
// "backend"; State is "live" or "leaving".
type Instance struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Role       string `json:"role"`
	State      string `json:"state"`
}

// Client calls the platform's API. BaseURL is required. It is safe for concurrent
// use.
type Client struct {
	// BaseURL is the root of the API, such as "http://10.0.0.1:7070".
	BaseURL string
	// InstanceID identifies the caller to the platform.
	InstanceID string
	// HTTP sends the requests. If nil, the client uses a transport of its own
	// without HTTP proxies. Each of its calls has a connection of its own: a response
	// that is received again on a kept one would be taken for that of the next call.
	HTTP *http.Client
	// Timeout limits the duration of a call; 0 selects 2 s.
	Timeout time.Duration

	once      sync.Once
	ownClient *http.Client

	mu    sync.Mutex
	cache map[string]cachedResponse // Latest responses to reads, by request path.
}

// cachedResponse is a response body with its entity tag. A conditional read of
// unchanged data transfers a few hundred bytes instead of the whole list.
type cachedResponse struct {
	etag string
	body []byte
}

// maxCachedResponses is the size at which the cache is cleared.
const maxCachedResponses = 64

// Get returns an object. It fails with [ErrNotFound] if there is none.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.call(ctx, http.MethodGet, objectPath(kind, name), nil, 0, &o)
	return o, err
}

// List returns all objects of a kind and the revision at which they were read,
// from which [Client.Watch] can continue.
func (c *Client) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	var a listResponse
	err := c.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(kind), nil, 0, &a)
	return a.Objects, a.Revision, err
}

// Put stores a value if the object's version is still ifVersion and returns the
// new version. With an ifVersion of 0, the object must not exist. It fails with
// [ErrConflict], [ErrRefused], [ErrUnavailable] or [ErrOutcomeUnknown].
func (c *Client) Put(ctx context.Context, kind, name string, value any, ifVersion uint64) (uint64, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Wrapf(err, "encode object %s/%s", kind, name)
	}
	var o Object
	path := objectPath(kind, name) + "?if_version=" + strconv.FormatUint(ifVersion, 10)
	err = c.call(ctx, http.MethodPut, path, body, 0, &o)
	return o.Version, err
}

// Delete deletes an object if its version is still ifVersion. It fails with the
// same errors as [Client.Put].
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	path := objectPath(kind, name) + "?if_version=" + strconv.FormatUint(ifVersion, 10)
	return c.call(ctx, http.MethodDelete, path, nil, 0, &Object{})
}

// Watch waits until objects of the kind have changed after the given revision, or
// until the wait time has passed. It returns the changed objects in their current
// state, oldest change first, and the revision from which the next call
// continues.
func (c *Client) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	q := url.Values{
		"kind":    {kind},
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var a listResponse
	err := c.call(ctx, http.MethodGet, "/v1/watch?"+q.Encode(), nil, wait, &a)
	return a.Objects, a.Revision, err
}

// Instances returns the platform's list of instances. The list lags behind the
// instances that actually run.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.call(ctx, http.MethodGet, "/v1/instances", nil, 0, &list)
	return list, err
}

// Close closes the idle connections of the client's own transport.
func (c *Client) Close() error {
	c.httpClient().CloseIdleConnections()
	return nil
}

// listResponse is the body of the response to a list or watch request.
type listResponse struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// httpClient returns HTTP, or the client's own HTTP client if that is nil.
func (c *Client) httpClient() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	c.once.Do(func() {
		c.ownClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	})
	return c.ownClient
}

// call sends one request and decodes the response into result. The deadline is
// the timeout plus the time that the request lets the server wait.
func (c *Client) call(ctx context.Context, method, path string, body []byte, wait time.Duration, result any) error {
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	// Without a connection, no byte of the request can have reached the
	// platform. The transport retries a write on a second connection only if no
	// byte was sent on the first.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "platform request")
	}
	req.Header.Set("Instance-Id", c.InstanceID)
	cached := c.cachedRead(method, path, wait)
	if cached.etag != "" {
		req.Header.Set("If-None-Match", cached.etag)
	}
	res, err := c.httpClient().Do(req)
	if err != nil {
		return c.classifyFailure(method, path, connected.Load(), err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode == http.StatusNotModified && cached.etag != "" {
		return errors.Wrap(decode(cached.body, result), "kept answer")
	}
	if err := statusError(res.StatusCode, method); err != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 64<<10))
		return errors.Wrapf(err, "%s %s: status %d", method, path, res.StatusCode)
	}
	payload, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err == nil {
		err = decode(payload, result)
	}
	if err != nil {
		return c.classifyFailure(method, path, true, err)
	}
	if tag := res.Header.Get("ETag"); method == http.MethodGet && wait == 0 && tag != "" {
		c.store(path, cachedResponse{tag, payload})
	}
	return nil
}

// cachedRead returns the cached response to a read. Watches are not cached.
func (c *Client) cachedRead(method, path string, wait time.Duration) cachedResponse {
	if method != http.MethodGet || wait > 0 {
		return cachedResponse{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache[path]
}

// store adds a response to the cache. A full cache is cleared first.
func (c *Client) store(path string, response cachedResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cache == nil || len(c.cache) >= maxCachedResponses {
		c.cache = map[string]cachedResponse{}
	}
	c.cache[path] = response
}

// classifyFailure returns the error of a call without a usable response. Only a
// write for which a connection was open may have taken effect.
func (c *Client) classifyFailure(method, path string, connected bool, err error) error {
	if method == http.MethodGet || !connected {
		return errors.Wrapf(ErrUnavailable, "%s %s: %v", method, path, err)
	}
	return errors.Wrapf(ErrOutcomeUnknown, "%s %s: %v", method, path, err)
}

// statusError maps an HTTP status to a sentinel error. After a status of 5xx other
// than 503, it is unknown whether a write took effect.
func statusError(status int, method string) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusConflict:
		return ErrConflict
	case status == http.StatusServiceUnavailable, status >= 500 && method == http.MethodGet:
		return ErrUnavailable
	case status >= 500:
		return ErrOutcomeUnknown
	}
	return ErrRefused
}
