package administrator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/distributor"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// maxBodyBytes limits a request body: the largest patch and the fields around it.
const maxBodyBytes = configurer.MaxPatchBytes + 4096

// ErrRequest is returned for a malformed request.
var ErrRequest = errors.New("request is malformed")

// ErrNotFound is returned for a key, workspace or attempt that does not exist.
var ErrNotFound = errors.New("does not exist")

// operatorContextKey is the context key of the operator's name.
type operatorContextKey struct{}

// authenticated wraps handle: it responds 401 to a request without a valid
// operator's token, and logs every other request.
func (a *Administrator) authenticated(handle func(*http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		operator, ok := a.authenticateOperator(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, errorResponse{Code: "unauthorized", Message: "a valid bearer token is needed"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		response, err := handle(r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, operator)))
		status := http.StatusOK
		if err != nil {
			response, status = respondToError(w, err)
		}
		a.Logger.Info().Str("event", "admin_request").Str("operator", operator).Str("method", r.Method).
			Str("path", r.URL.Path).Int("status", status).Send()
		writeJSON(w, status, response)
	})
}

// authenticateOperator returns the name of the operator whose token the request
// carries. It compares with every hash in constant time, so that the timing
// reveals nothing about the hashes.
func (a *Administrator) authenticateOperator(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	name, matched := "", false
	for _, t := range a.Tokens {
		if subtle.ConstantTimeCompare([]byte(t.Hash), hash) == 1 {
			name, matched = t.Operator, true
		}
	}
	return name, matched
}

// errorResponse is the body of a response with a status other than 200.
type errorResponse struct {
	Code            string                    `json:"code"`
	Message         string                    `json:"message"`
	BaseVersion     *identifier.ConfigVersion `json:"base_version,omitempty"`
	AcceptedVersion *identifier.ConfigVersion `json:"accepted_version,omitempty"`
	Fields          configurer.FieldErrors    `json:"fields,omitempty"`
}

// respondToError returns the body and the status for an error, and sets
// Retry-After where it applies.
func respondToError(w http.ResponseWriter, err error) (errorResponse, int) {
	response := errorResponse{Message: err.Error()}
	status := http.StatusInternalServerError
	var (
		stale     *distributor.StaleError
		refused   *distributor.RefusedError
		undecided *distributor.UndecidedError
		tooLong   *http.MaxBytesError
	)
	switch {
	case errors.As(err, &stale):
		response.Code, status = "stale", http.StatusConflict
		response.BaseVersion, response.AcceptedVersion = &stale.Base, &stale.Accepted
	case errors.As(err, &response.Fields):
		response.Code, response.Message, status = "invalid", "the configuration has bad fields", http.StatusUnprocessableEntity
	case errors.As(err, &refused):
		response.Code, status = "refused", http.StatusServiceUnavailable
		setRetryAfter(w, refused.RetryAfter)
	case errors.As(err, &undecided):
		response.Code, status = "undecided", http.StatusAccepted
		setRetryAfter(w, undecided.RetryAfter)
	case errors.As(err, &tooLong), errors.Is(err, configurer.ErrPatchTooLarge):
		response.Code, status = "too_large", http.StatusRequestEntityTooLarge
	case errors.Is(err, configurer.ErrInvalidPatch):
		response.Code, status = "invalid", http.StatusUnprocessableEntity
	case errors.Is(err, distributor.ErrAttemptIDReused):
		response.Code, status = "attempt_reused", http.StatusConflict
	case errors.Is(err, distributor.ErrInvalidAttemptID), errors.Is(err, ErrRequest):
		response.Code, status = "malformed", http.StatusBadRequest
	case errors.Is(err, ErrNotFound), errors.Is(err, distributor.ErrNoVersion), errors.Is(err, distributor.ErrNoDataCentre):
		response.Code, status = "not_found", http.StatusNotFound
	default:
		response.Code = "failed"
	}
	return response, status
}

// setRetryAfter sets the Retry-After header, rounded up to whole seconds, the
// unit of the header.
func setRetryAfter(w http.ResponseWriter, wait time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(wait.Seconds())))))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(body) // Fails only if the client has disconnected.
}

// decodeBody decodes the JSON body into target and returns its bytes. Unknown
// fields are errors.
func decodeBody(r *http.Request, target any) ([]byte, error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read body")
	}
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return nil, errors.Wrap(ErrRequest, err.Error())
	}
	return data, nil
}
