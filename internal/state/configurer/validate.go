package configurer

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"oleanderpulley/internal/state/identifier"
)

// Limits of a document. The limits on counts keep validation and the evaluation
// of two versions cheap at the sizes given in docs/design.md, 1.7.
const (
	MaxRate        = 10_000_000 // Requests per second.
	MaxBurst       = 100_000_000
	MaxWeight      = 1000
	MaxSlots       = 10_000
	MaxConnections = 100_000
	MaxRouteAge    = time.Hour
	maxEntries     = 200_000
	maxFieldErrors = 50
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// FieldError describes an invalid field of a document.
type FieldError struct {
	Path    string `json:"path"` // JSON pointer.
	Problem string `json:"problem"`
}

// FieldErrors lists the invalid fields of a document, at most 50 of them.
type FieldErrors []FieldError

// Error returns all field errors on one line.
func (e FieldErrors) Error() string {
	parts := make([]string, len(e))
	for i, f := range e {
		parts[i] = f.Path + ": " + f.Problem
	}
	return "configuration: " + strings.Join(parts, "; ")
}

// Validate returns nil for a valid document. Otherwise it returns [FieldErrors],
// in which each invalid field has its JSON pointer and, for a number, the allowed
// range with its unit.
func (d *Document) Validate() error {
	c := &checker{document: d}
	c.checkCounts()
	checkEntries(c, "/services", d.Services, c.checkService)
	checkEntries(c, "/workspaces", d.Workspaces, c.checkWorkspace)
	c.checkKeys()
	checkEntries(c, "/routes", d.Routes, c.checkRoute)
	c.checkEvacuations()
	if len(c.errors) == 0 {
		return nil
	}
	return c.errors
}

// checker collects the errors that the checks of a document find.
type checker struct {
	document *Document
	errors   FieldErrors
}

func (c *checker) addError(path, format string, args ...any) {
	if len(c.errors) < maxFieldErrors {
		c.errors = append(c.errors, FieldError{Path: path, Problem: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) checkCounts() {
	d := c.document
	for _, section := range []struct {
		path  string
		count int
	}{{"/services", len(d.Services)}, {"/workspaces", len(d.Workspaces)}, {"/keys", len(d.Keys)}, {"/routes", len(d.Routes)}, {"/evacuated_data_centres", len(d.EvacuatedDataCentres)}} {
		if section.count > maxEntries {
			c.addError(section.path, "has %d entries, at most %d are allowed", section.count, maxEntries)
		}
	}
}

func (c *checker) checkService(path string, s Service) {
	if len(s.BackendServers) == 0 {
		c.addError(path+"/backend_servers", "needs at least one backend server")
	}
	checkEntries(c, path+"/backend_servers", s.BackendServers, func(path string, b BackendServer) {
		if a, err := netip.ParseAddrPort(b.Address); err != nil || a.Port() == 0 {
			c.addError(path+"/address", "%.60q is not an IP address with a port", b.Address)
		}
		if !namePattern.MatchString(string(b.DataCentre)) {
			c.addError(path+"/data_centre", "%.60q is not a name", b.DataCentre)
		}
		checkRange(c, path+"/slots", b.Slots, 1, MaxSlots, "statements")
		checkRange(c, path+"/connections", b.Connections, 1, MaxConnections, "connections")
	})
}

func (c *checker) checkWorkspace(path string, w Workspace) {
	checkRange(c, path+"/rate", w.Rate, 0, MaxRate, "requests a second")
	checkRange(c, path+"/burst", w.Burst, 0, MaxBurst, "requests")
	checkRange(c, path+"/weight", w.Weight, 0, MaxWeight, "shares")
	if w.Rate > 0 && w.Burst < 1 {
		c.addError(path+"/burst", "%v is below 1 request, so that the rate could never be used", w.Burst)
	}
	for i, s := range w.Services {
		p := fmt.Sprintf("%s/services/%d", path, i)
		if _, ok := c.document.Services[s]; !ok {
			c.addError(p, "service %.60q does not exist", s)
		}
		if slices.Index(w.Services, s) < i {
			c.addError(p, "service %.60q is listed twice", s)
		}
	}
}

func (c *checker) checkKeys() {
	seen := make(map[string]identifier.KeyID, len(c.document.Keys))
	checkEntries(c, "/keys", c.document.Keys, func(path string, k Key) {
		if _, ok := c.document.Workspaces[k.Workspace]; !ok {
			c.addError(path+"/workspace", "workspace %.60q does not exist", k.Workspace)
		}
		if !hashPattern.MatchString(k.Hash) {
			c.addError(path+"/hash", "is not a SHA-256 in 64 lower-case hexadecimal digits")
			return
		}
		if other, ok := seen[k.Hash]; ok {
			c.addError(path+"/hash", "is the hash of key %q too", other)
		}
		seen[k.Hash] = identifier.KeyID(path[len("/keys/"):])
	})
}

func (c *checker) checkRoute(path string, r Route) {
	if _, ok := c.document.Services[r.Service]; !ok {
		c.addError(path+"/service", "service %.60q does not exist", r.Service)
	}
	if r.MaxAge < 0 || time.Duration(r.MaxAge) > MaxRouteAge {
		c.addError(path+"/max_age", "%v is outside 0s to %v", time.Duration(r.MaxAge), MaxRouteAge)
	}
	if !r.Open {
		return
	}
	if w, ok := c.document.Workspaces[r.Workspace]; !ok {
		c.addError(path+"/workspace", "an open route is charged to a workspace, and %.60q does not exist", r.Workspace)
	} else if !slices.Contains(w.Services, r.Service) {
		c.addError(path+"/workspace", "workspace %.60q may not use service %.60q", r.Workspace, r.Service)
	}
	if r.NotRepeatable {
		c.addError(path+"/not_repeatable", "an open route is read-only, so that it has no such requests")
	}
}

func (c *checker) checkEvacuations() {
	evacuated := c.document.EvacuatedDataCentres
	for i, dc := range evacuated {
		path := fmt.Sprintf("/evacuated_data_centres/%d", i)
		if !c.document.HasServersIn(dc) {
			c.addError(path, "data centre %.60q has no backend servers", dc)
		}
		if slices.Index(evacuated, dc) < i {
			c.addError(path, "data centre %.60q is listed twice", dc)
		}
	}
}

// checkEntries checks the names of the entries and calls check for each entry.
// It iterates in sorted order, so that the order of the errors is stable.
func checkEntries[K ~string, V any](c *checker, path string, entries map[K]V, check func(path string, v V)) {
	for _, k := range slices.Sorted(maps.Keys(entries)) {
		p := path + "/" + escapePointer(string(k))
		if !namePattern.MatchString(string(k)) {
			c.addError(p, "the name must have 1 to 63 letters, digits, dots, dashes or underscores and start with a letter or digit")
		}
		check(p, entries[k])
	}
}

// checkRange reports a value outside the range from low to high. The comparison
// is negated so that it reports NaN as well.
func checkRange[N cmp.Ordered](c *checker, path string, v, low, high N, unit string) {
	if !(v >= low && v <= high) { //nolint:staticcheck // NaN compares false both ways.
		c.addError(path, "%s is outside %s to %s %s", formatNumber(v), formatNumber(low), formatNumber(high), unit)
	}
}

// formatNumber formats a number without an exponent.
func formatNumber(v any) string {
	if f, ok := v.(float64); ok {
		return strconv.FormatFloat(f, 'f', -1, 64)
	}
	return fmt.Sprint(v)
}

// escapePointer escapes a string as one reference token of a JSON pointer
// (RFC 6901).
func escapePointer(s string) string {
	if !strings.ContainsAny(s, "~/") {
		return s
	}
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(s)
}
