package administrator

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/distributor"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// maxProposals limits how often a change without a base version is proposed.
const maxProposals = 5

// changeRequest holds the fields that all change requests share.
type changeRequest struct {
	BaseVersion *identifier.ConfigVersion `json:"base_version"` // Required for patches and rollbacks.
	AttemptID   string                    `json:"attempt_id"`
	Author      string                    `json:"author"` // Defaults to the operator's name.
}

// changeResponse is the response to an accepted change.
type changeResponse struct {
	Version   identifier.ConfigVersion `json:"version"`
	AttemptID string                   `json:"attempt_id"`
}

type patchRequest struct {
	changeRequest
	MergePatch json.RawMessage `json:"merge_patch"` // RFC 7396.
	JSONPatch  json.RawMessage `json:"json_patch"`  // RFC 6902.
}

func (a *Administrator) patchConfig(r *http.Request) (any, error) {
	var request patchRequest
	body, err := decodeBody(r, &request)
	if err != nil {
		return nil, err
	}
	if request.BaseVersion == nil {
		return nil, errors.Wrap(ErrRequest, "base_version is missing")
	}
	if (request.MergePatch == nil) == (request.JSONPatch == nil) {
		return nil, errors.Wrap(ErrRequest, "exactly one of merge_patch and json_patch is needed")
	}
	return a.submitChange(r, request.changeRequest, body, func(d *configurer.Document) (*configurer.Document, error) {
		if request.MergePatch != nil {
			return d.MergePatch(request.MergePatch)
		}
		return d.Patch(request.JSONPatch)
	})
}

type rollbackRequest struct {
	changeRequest
	ToVersion *identifier.ConfigVersion `json:"to_version"`
}

// rollback proposes a new version with the content of an older one.
func (a *Administrator) rollback(r *http.Request) (any, error) {
	var request rollbackRequest
	body, err := decodeBody(r, &request)
	if err != nil {
		return nil, err
	}
	if request.BaseVersion == nil || request.ToVersion == nil {
		return nil, errors.Wrap(ErrRequest, "base_version and to_version are needed")
	}
	old, err := a.Document(r.Context(), *request.ToVersion)
	if err != nil {
		return nil, err
	}
	return a.submitChange(r, request.changeRequest, body, func(d *configurer.Document) (*configurer.Document, error) {
		return d.NextWithContent(old), nil
	})
}

// submitChange proposes a change. A change without a base version is based on
// the accepted version, and proposed again if that became stale in the meantime.
func (a *Administrator) submitChange(r *http.Request, request changeRequest, body []byte,
	apply func(*configurer.Document) (*configurer.Document, error),
) (any, error) {
	operator, _ := r.Context().Value(operatorContextKey{}).(string)
	submission := distributor.Submission{
		Attempt: request.AttemptID, Author: operator, Apply: apply,
		Content: fmt.Appendf(nil, "%s %s\n%s", r.Method, r.URL.Path, body),
	}
	if request.Author != "" && request.Author != operator {
		submission.Author = fmt.Sprintf("%.100s (%s)", request.Author, operator)
	}
	if request.BaseVersion != nil {
		submission.Base = *request.BaseVersion
	} else if view, ok := a.View(); ok {
		submission.Base = view.Accepted.Version
	}
	for proposal := 1; ; proposal++ {
		result, err := a.Propose(r.Context(), submission)
		var stale *distributor.StaleError
		if request.BaseVersion == nil && proposal < maxProposals && errors.As(err, &stale) {
			submission.Base = stale.Accepted
			continue
		}
		if err != nil {
			return nil, err
		}
		return changeResponse{Version: result.Version, AttemptID: request.AttemptID}, nil
	}
}
