package administrator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"oleanderpulley/internal/coordination/distributor"
	"oleanderpulley/internal/state/configurer"
	"oleanderpulley/internal/state/identifier"
)

// noConfigurationError is returned until the first configuration was read.
func noConfigurationError() error {
	return &distributor.RefusedError{Reason: "this instance has no configuration yet", RetryAfter: time.Second}
}

func (a *Administrator) listWorkspaces(*http.Request) (any, error) {
	view, err := a.currentView()
	if err != nil {
		return nil, err
	}
	return map[string]any{"version": view.Accepted.Version, "workspaces": view.Accepted.Workspaces}, nil
}

type workspaceRequest struct {
	changeRequest
	Workspace json.RawMessage `json:"workspace"`
}

func (a *Administrator) putWorkspace(r *http.Request) (any, error) {
	var request workspaceRequest
	body, err := decodeBody(r, &request)
	if err != nil {
		return nil, err
	}
	if request.Workspace == nil {
		return nil, errors.Wrap(ErrRequest, "workspace is missing")
	}
	name := r.PathValue("name")
	patch, err := json.Marshal([]map[string]any{{"op": "add", "path": "/workspaces/" + escapePointerSegment(name), "value": request.Workspace}})
	if err != nil {
		return nil, errors.Wrap(ErrRequest, err.Error())
	}
	return a.submitChange(r, request.changeRequest, body, func(d *configurer.Document) (*configurer.Document, error) {
		return d.Patch(patch)
	})
}

// deleteWorkspace removes a workspace and its keys.
func (a *Administrator) deleteWorkspace(r *http.Request) (any, error) {
	var request changeRequest
	body, err := decodeBody(r, &request)
	if err != nil {
		return nil, err
	}
	name := identifier.WorkspaceName(r.PathValue("name"))
	return a.submitChange(r, request, body, func(d *configurer.Document) (*configurer.Document, error) {
		if _, ok := d.Workspaces[name]; !ok {
			return nil, errors.Wrapf(ErrNotFound, "workspace %.60q", name)
		}
		keys := map[identifier.KeyID]any{}
		for id, k := range d.Keys {
			if k.Workspace == name {
				keys[id] = nil
			}
		}
		return applyMergePatch(d, map[string]any{"workspaces": map[identifier.WorkspaceName]any{name: nil}, "keys": keys})
	})
}

func applyMergePatch(d *configurer.Document, patch any) (*configurer.Document, error) {
	data, err := json.Marshal(patch)
	if err != nil {
		return nil, errors.Wrap(ErrRequest, err.Error())
	}
	return d.MergePatch(data)
}
