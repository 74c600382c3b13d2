package loader

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// validate checks the names of the instance and the data centre and the rules
// that involve several settings.
func (s *Settings) validate() error {
	if !namePattern.MatchString(string(s.InstanceID)) {
		return errors.Wrapf(ErrSettings, "instance_id: %.70q is not a name", s.InstanceID)
	}
	if !namePattern.MatchString(string(s.DataCentre)) {
		return errors.Wrapf(ErrSettings, "data_centre: %.70q is not a name", s.DataCentre)
	}
	for _, listener := range []struct {
		path, listen string
		files        []string
	}{
		{"clients", s.Clients.Listen, []string{s.Clients.TLSCertFile, s.Clients.TLSKeyFile}},
		{"admin", s.Admin.Listen, []string{s.Admin.TLSCertFile, s.Admin.TLSKeyFile}},
		{"peers", s.Peers.Listen, []string{s.Peers.TLSCertFile, s.Peers.TLSKeyFile, s.Peers.TLSCAFile}},
	} {
		if err := checkTLS(listener.path, listener.listen, listener.files); err != nil {
			return err
		}
	}
	if (s.Platform.TLSCertFile == "") != (s.Platform.TLSKeyFile == "") {
		return errors.Wrap(ErrSettings, "platform: tls_cert_file and tls_key_file must be set together")
	}
	if u, err := url.Parse(s.Platform.URL); err == nil && u.Scheme == "http" && !isLoopbackHost(u.Hostname()) {
		return errors.Wrapf(ErrSettings, "platform.url: host %q is not loopback, so https is required", u.Host)
	}
	if !isLoopback(s.Admin.Listen) && s.Admin.TokensFile == "" {
		return errors.Wrapf(ErrSettings, "admin.tokens_file: is required, because admin.listen %s is not loopback", s.Admin.Listen)
	}
	return nil
}

// checkTLS requires that either all or none of the files are set, and that all
// are set if the listen address is not loopback.
func checkTLS(path, listen string, files []string) error {
	set := 0
	for _, f := range files {
		if f != "" {
			set++
		}
	}
	if set == len(files) || (set == 0 && isLoopback(listen)) {
		return nil
	}
	if set == 0 {
		return errors.Wrapf(ErrSettings, "%s.listen: %s is not loopback, so the TLS files are required", path, listen)
	}
	return errors.Wrapf(ErrSettings, "%s: all TLS files must be set together, %d of %d are set", path, set, len(files))
}

func isLoopback(listen string) bool {
	a, err := netip.ParseAddrPort(listen)
	return err == nil && a.Addr().IsLoopback()
}

func isLoopbackHost(host string) bool {
	a, err := netip.ParseAddr(host)
	return host == "localhost" || err == nil && a.IsLoopback()
}

// readSecrets reads the password for backend servers and the operators' tokens
// from their files.
func (s *Settings) readSecrets(readFile func(string) ([]byte, error)) error {
	if name := s.Backend.PasswordFile; name != "" {
		data, err := readFile(name)
		if err != nil {
			return errors.Wrapf(ErrSettings, "backend.password_file: %v", err)
		}
		if s.Backend.Password = CutLineEnd(string(data)); s.Backend.Password == "" {
			return errors.Wrapf(ErrSettings, "backend.password_file: %s is empty", name)
		}
	}
	if name := s.Admin.TokensFile; name != "" {
		data, err := readFile(name)
		if err != nil {
			return errors.Wrapf(ErrSettings, "admin.tokens_file: %v", err)
		}
		if s.Admin.Tokens, err = parseTokens(name, string(data)); err != nil {
			return err
		}
	}
	return nil
}

// CutLineEnd returns the content of a file with one line without its line end, LF or
// CR LF, if it has one.
func CutLineEnd(text string) string {
	line, found := strings.CutSuffix(text, "\n")
	if !found {
		return text
	}
	return strings.TrimSuffix(line, "\r")
}

// parseTokens parses lines of a token's hash and an operator's name. A "#" starts
// a comment.
func parseTokens(name, text string) ([]Token, error) {
	var tokens []Token
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if len(words) != 2 || !hashPattern.MatchString(words[0]) {
			return nil, errors.Wrapf(ErrSettings, "%s:%d: is not a SHA-256 in 64 lower-case hexadecimal digits, a space and a name", name, i+1)
		}
		tokens = append(tokens, Token{Hash: words[0], Operator: words[1]})
	}
	if len(tokens) == 0 {
		return nil, errors.Wrapf(ErrSettings, "%s: contains no tokens", name)
	}
	return tokens, nil
}

// MarshalMasked returns the effective settings as JSON. Of the secrets it shows
// only the names of their files and that they were read.
func (s *Settings) MarshalMasked() ([]byte, error) {
	masked := struct {
		*Settings
		Secrets map[string]string `json:"secrets"`
	}{s, map[string]string{}}
	if s.Backend.Password != "" {
		masked.Secrets["backend.password"] = "(masked)"
	}
	if len(s.Admin.Tokens) > 0 {
		masked.Secrets["admin.tokens"] = fmt.Sprintf("(%d, masked)", len(s.Admin.Tokens))
	}
	return json.MarshalIndent(masked, "", "  ")
}
