package administrator

import (
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// defaultHistoryLimit is the number of versions returned without ?limit=N.
const defaultHistoryLimit = 20

type configResponse struct {
	Version         identifier.ConfigVersion  `json:"version"`
	ProposedVersion *identifier.ConfigVersion `json:"proposed_version,omitempty"`
	Document        *configurer.Document      `json:"document"`
}

// getConfig returns the accepted version, or an older one with ?version=N.
func (a *Administrator) getConfig(r *http.Request) (any, error) {
	if text := r.URL.Query().Get("version"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(ErrRequest, "version %.40q is not a number", text)
		}
		doc, err := a.Document(r.Context(), identifier.ConfigVersion(n))
		if err != nil {
			return nil, err
		}
		return configResponse{Version: doc.Version, Document: doc}, nil
	}
	view, err := a.currentView()
	if err != nil {
		return nil, err
	}
	response := configResponse{Version: view.Accepted.Version, Document: view.Accepted}
	if view.Proposed != nil {
		response.ProposedVersion = &view.Proposed.Version
	}
	return response, nil
}

func (a *Administrator) currentView() (configurer.View, error) {
	view, ok := a.View()
	if !ok {
		return view, noConfigurationError()
	}
	return view, nil
}

func (a *Administrator) getHistory(r *http.Request) (any, error) {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, errors.Wrapf(ErrRequest, "limit %.40q is not a number from 1", text)
		}
		limit = n
	}
	entries, err := a.History(r.Context(), limit)
	if err != nil {
		return nil, err
	}
	return map[string]any{"versions": entries}, nil
}

// getAttempt returns the result of an earlier attempt, usually of one that was
// undecided.
func (a *Administrator) getAttempt(r *http.Request) (any, error) {
	id := r.PathValue("id")
	result, settled, err := a.AttemptResult(r.Context(), id)
	if err != nil {
		return nil, err
	}
	if !settled {
		return nil, errors.Wrapf(ErrNotFound, "attempt %.100q", id)
	}
	return changeResponse{Version: result.Version, AttemptID: id}, nil
}

func (a *Administrator) getStatus(*http.Request) (any, error) {
	return a.Status(), nil
}

type retireRequest struct {
	Confirm identifier.DataCentre `json:"confirm"` // Repeats the name, because retiring cannot be undone.
}

func (a *Administrator) retire(r *http.Request) (any, error) {
	var request retireRequest
	if _, err := decodeBody(r, &request); err != nil {
		return nil, err
	}
	name := identifier.DataCentre(r.PathValue("name"))
	if request.Confirm != name {
		return nil, errors.Wrapf(ErrRequest, "confirm must repeat the name %.60q", name)
	}
	if err := a.Retire(r.Context(), name); err != nil {
		return nil, err
	}
	return map[string]any{"retired": name}, nil
}
